// Measures commits per second with and without group commit, and recovery times.
#include <algorithm>
#include <filesystem>
#include <random>
#include <vector>

#include "measure.h"
#include "siskindrift/control/control_core.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/log/replica_store.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::bench {
namespace {

namespace fs = std::filesystem;

class temporary_directory {
public:
    temporary_directory()
        : m_path(fs::temp_directory_path() /
                 ("siskindrift-bench-" + std::to_string(std::random_device{}())))
    {
        fs::create_directories(m_path);
    }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;
    ~temporary_directory() { fs::remove_all(m_path); }
    [[nodiscard]] const fs::path& path() const { return m_path; }

private:
    fs::path m_path;
};

// One replica with its store, driven in the same cycle as in the control process.
class replica {
public:
    explicit replica(const fs::path& directory, std::uint64_t compact_after)
        : m_store(directory, m_opener)
    {
        log::recovery_report report;
        core::error_message why;
        control::control_options options;
        options.compact_after = compact_after;
        m_core = std::make_unique<control::control_core>(
            core::replica_id{9}, *m_store.open(report, why), options, 1, m_clock, nullptr);
        wire::form_cluster_t form;
        form.vm = form.address = "bench";
        m_core->on_request(0, wire::make_control_request(form));
        while (!m_core->raft().has_committed_in_term()) {
            cycle();
        }
    }

    void change()
    {
        wire::apply_change_t request;
        request.change_id = "change-" + std::to_string(m_next++);
        request.expected_revision = m_expected++;
        wire::config_operation_t operation;
        operation.key = "adapter/adapter-" + std::to_string(m_next % 36'000);
        operation.value = R"({"team":"team-17","base_model":"review-base","versions":["1"]})";
        wire::append(request.operations, operation);
        m_core->on_request(1, wire::make_control_request(std::move(request)));
    }

    void cycle()
    {
        m_core->tick();
        core::error_message why;
        const auto work = m_core->take_ready();
        m_store.persist(work, m_core->raft(), why);
        if (const auto snapshot = m_core->apply_ready(work)) {
            m_store.store_snapshot(*snapshot, m_core->raft(), why);
        }
        m_core->take_replies();
    }

    [[nodiscard]] std::uint64_t revision() const { return m_core->state().revision(); }

private:
    core::boottime_clock m_clock;
    log::system_file_opener m_opener;
    log::replica_store m_store;
    std::unique_ptr<control::control_core> m_core;
    std::uint64_t m_next = 1;
    std::uint64_t m_expected = 0;
};

double seconds_between(core::time_point from, core::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

// Returns commits per second. Each writer waits for its commit before it writes again, so a batch
// contains at most one change of each writer.
double measure_commit_rate(std::size_t writers, std::size_t changes_per_sync, const char* name)
{
    const temporary_directory directory;
    replica tested{directory.path(), 1'000'000};
    const core::boottime_clock clock;
    std::vector<double> latencies;
    const auto begin = clock.now();
    constexpr double length_s = 2.0;
    std::size_t commits = 0;
    while (seconds_between(begin, clock.now()) < length_s) {
        const auto round = clock.now();
        for (std::size_t done = 0; done < writers; done += changes_per_sync) {
            for (std::size_t i = 0; i < changes_per_sync; ++i) {
                tested.change();
            }
            tested.cycle();
            for (std::size_t i = 0; i < changes_per_sync; ++i) {
                latencies.push_back(seconds_between(round, clock.now()) * 1000.0);
            }
        }
        commits += writers;
    }
    const double rate = static_cast<double>(commits) / seconds_between(begin, clock.now());
    std::sort(latencies.begin(), latencies.end());
    print_measurement(std::string{"commits_per_second_"} + name, static_cast<double>(writers), rate,
                      "1/s");
    print_measurement(std::string{"commit_p50_"} + name, static_cast<double>(writers),
                      latencies[latencies.size() / 2], "ms");
    print_measurement(std::string{"commit_p99_"} + name, static_cast<double>(writers),
                      latencies[latencies.size() * 99 / 100], "ms");
    return rate;
}

void measure_recovery(std::size_t changes, std::uint64_t compact_after, const char* name)
{
    const temporary_directory directory;
    {
        replica tested{directory.path(), compact_after};
        for (std::size_t done = 0; done < changes; done += 100) {
            for (int i = 0; i < 100; ++i) {
                tested.change();
            }
            tested.cycle();
        }
    }
    const core::boottime_clock clock;
    const auto begin = clock.now();
    log::recovery_report report;
    const auto state = log::read_replica(directory.path(), report);
    state::control_state restored;
    if (state.base) {
        restored.restore(state.base->state);
    }
    for (const auto& entry : state.entries) {
        restored.apply(entry);
    }
    print_measurement(std::string{"recovery_"} + name, static_cast<double>(changes),
                      seconds_between(begin, clock.now()) * 1000.0, "ms");
}

} // namespace

void run_control_bench()
{
    for (const std::size_t writers : {1, 16, 64}) {
        const double single = measure_commit_rate(writers, 1, "one_sync_each");
        const double grouped = measure_commit_rate(writers, writers, "group_commit");
        print_ratio("group_commit_gain_at_" + std::to_string(writers), single, grouped);
    }
    for (const std::size_t changes : {1'700, 100'000}) {
        measure_recovery(changes, 1'000'000'000, "without_snapshot");
        measure_recovery(changes, 4'096, "with_snapshot");
    }
}

} // namespace siskindrift::bench
