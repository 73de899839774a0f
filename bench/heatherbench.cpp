#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "heatherbench_commands.h"

namespace
{

constexpr int kExitSuccess = 0;
constexpr int kExitUsage = 1;

struct command
{
    const char *name;
    const char *summary;
    int (*run)(const std::vector<std::string> &arguments, std::ostream &out);
};

constexpr command kCommands[] = {
    {"control",
     "time until a configuration change is in force on every entry, and the cost of the control plane per entry",
     heatherroute::bench::runControlCommand},
    {"demo", "sample requests of both users through running entries, with answers checked byte by byte", heatherroute::bench::runDemo},
    {"load", "goodput of each placement policy on real processes under load", heatherroute::bench::runLoad},
    {"soak", "entry processes under random faults, with the guarantees to callers checked", heatherroute::bench::runSoak},
    {"relay", "latency and CPU time that an entry adds per token, compared with a direct stream", heatherroute::bench::runRelay},
};

void printHelp()
{
    std::cout << "heatherbench COMMAND [OPTION...]; heatherbench COMMAND --help lists the options of a command\n";
    for (const command &known : kCommands) {
        std::cout << "  " << known.name << "\t" << known.summary << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "-h") {
        printHelp();
        return arguments.empty() ? kExitUsage : kExitSuccess;
    }
    for (const command &known : kCommands) {
        if (arguments.front() != known.name) {
            continue;
        }
        try {
            return known.run({arguments.begin(), arguments.end()}, std::cout);
        } catch (const std::exception &error) {
            std::cerr << "heatherbench: " << error.what() << '\n';
            return kExitUsage;
        }
    }
    std::cerr << "heatherbench: unknown command '" << arguments.front() << "'; see heatherbench --help\n";
    return kExitUsage;
}
