#include "mustardwick/cli/files.hpp"

#include <fstream>
#include <iterator>

#include "mustardwick/base/error.hpp"

namespace mustardwick::cli
{

namespace
{

std::string read_all(std::istream& from)
{
    return {std::istreambuf_iterator<char>(from), {}};
}

} // namespace

std::optional<std::string> read_file(const std::string& name,
                                     std::istream& input)
{
    if (name == "-")
        return read_all(input);
    std::ifstream file(name, std::ios::binary);
    // Opening a directory succeeds, but the first read fails.
    if (file &&
        (file.peek() != std::ifstream::traits_type::eof() || file.eof()))
        return read_all(file);
    return base::fail(base::error_kind::invalid_input,
                      "cannot read the file " + name,
                      "check its name and permissions");
}

} // namespace mustardwick::cli
