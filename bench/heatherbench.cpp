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
    {"control", "time until a change is in force everywhere, and what control costs an entry", heatherroute::bench::runControlCommand},
    {"demo", "requests of both users' kinds through running entries, checked byte by byte", heatherroute::bench::runDemo},
    {"load", "goodput of each placement policy on real processes under load", heatherroute::bench::runLoad},
    {"soak", "entries as processes under random faults, with the promises checked", heatherroute::bench::runSoak},
    {"relay", "what an entry adds to the time and CPU of a token, against a direct stream", heatherroute::bench::runRelay},
};

void printHelp()
{
    std::cout << "heatherbench COMMAND [OPTION...]; heatherbench COMMAND --help tells its options\n";
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
