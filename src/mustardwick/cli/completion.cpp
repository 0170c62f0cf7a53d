#include "mustardwick/base/error.hpp"
#include "mustardwick/cli/report.hpp"
#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

namespace
{

std::string option_words(const std::vector<option_spec>& options)
{
    std::string out;
    for (const auto& it : options)
        out += " --" + it.long_name();
    return out;
}

std::string verb_words()
{
    std::string out;
    for (const auto& it : all_verbs())
        out += (out.empty() ? "" : " ") + it.name;
    return out;
}

/// Returns the verbs whose first operand is a resource kind, as a case pattern.
std::string kind_verbs()
{
    std::string out;
    for (const auto& it : all_verbs())
        if (it.operands.starts_with("KIND"))
            out += (out.empty() ? "" : "|") + it.name;
    return out;
}

std::string bash_script()
{
    std::string out = "_mustardwick()\n{\n"
                      "    local word=${COMP_WORDS[COMP_CWORD]} verb= it\n"
                      "    local words=\"" +
                      verb_words() +
                      "\"\n"
                      "    for it in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
                      "        case \" $words \" in\n"
                      "            *\" $it \"*) verb=$it; break ;;\n"
                      "        esac\n"
                      "    done\n"
                      "    case $verb in\n"
                      "        " +
                      kind_verbs() +
                      ")\n"
                      "            words=\"queues teams keys hosts "
                      "failure-domains\" ;;\n"
                      "        ?*) words= ;;\n"
                      "    esac\n"
                      "    if [[ $word == -* ]]; then\n"
                      "        words=\"" +
                      option_words(global_options()) +
                      "\"\n"
                      "        case $verb in\n";
    for (const auto& it : all_verbs())
        if (!it.options.empty())
            out += "            " + it.name + ") words+=\"" +
                   option_words(it.options) + "\" ;;\n";
    out += "        esac\n"
           "    fi\n"
           "    mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \"$word\")\n"
           "}\n"
           "complete -o default -F _mustardwick mustardwick\n";
    return out;
}

exit_code run_completion(context& call)
{
    const auto shell = call.args.positional()[0];
    if (shell != "bash")
    {
        base::fail(base::error_kind::invalid_input,
                   "no completion script for the shell '" + shell + "'",
                   "give bash");
        return report_failure(call.io);
    }
    call.io.out << bash_script();
    return exit_code::ok;
}

} // namespace

std::vector<verb> completion_verbs()
{
    return {
        {.name = "completion",
         .operands = "SHELL",
         .summary = "Prints the completion script for a shell (bash).",
         .examples = "  source <(mustardwick completion bash)\n"
                     "  mustardwick completion bash > "
                     "/etc/bash_completion.d/mustardwick\n",
         .min_operands = 1,
         .max_operands = 1,
         .outputs = {"text"},
         .needs_daemon = false,
         .run = run_completion},
    };
}

} // namespace mustardwick::cli
