#include <cstring>
#include <iostream>

namespace siskindrift::bench {

/// Measures memory, processor time and message sizes; prints JSON lines.
void run_capacity_bench();
/// Measures commit rates, commit latencies and recovery times; prints JSON lines.
void run_control_bench();

} // namespace siskindrift::bench

int main(int argc, char** argv)
{
    if (argc == 2 && std::strcmp(argv[1], "capacity") == 0) {
        siskindrift::bench::run_capacity_bench();
        return 0;
    }
    if (argc == 2 && std::strcmp(argv[1], "control") == 0) {
        siskindrift::bench::run_control_bench();
        return 0;
    }
    std::cerr << "usage: siskindrift-bench capacity|control\n";
    return 2;
}
