#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "mustardwick/cli/program.hpp"

namespace
{

std::string variable(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    return value == nullptr ? "" : value;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace mustardwick::cli;
    const std::vector<std::string> words(argv + 1, argv + argc);
    console io{std::cin, std::cout, std::cerr, variable};
    try
    {
        return static_cast<int>(run_program(words, io));
    }
    catch (const std::exception& ex)
    {
        std::cerr << "error: " << ex.what()
                  << "; please report this as a bug in mustardwick\n";
        return static_cast<int>(exit_code::refused);
    }
}
