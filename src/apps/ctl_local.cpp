#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "ctl_session.h"
#include "platform/deployment_codec.h"
#include "siskindrift/config/settings.h"
#include "siskindrift/log/replica_store.h"
#include "siskindrift/observe/request_log_filter.h"

namespace siskindrift::apps {
namespace {

namespace fs = std::filesystem;

// Returns the faults of a settings file of one program, or none; no value for another program.
std::optional<std::string> faults_of(const std::string& program, const std::string& text)
{
    core::error_message why;
    bool good = false;
    if (program == "gateway") {
        good = config::read_gateway_settings(text, why).has_value();
    }
    else if (program == "coordinator") {
        good = config::read_coordinator_settings(text, why).has_value();
    }
    else if (program == "entry") {
        good = config::read_entry_settings(text, why).has_value();
    }
    else if (program == "control") {
        good = config::read_control_settings(text, why).has_value();
    }
    else {
        return std::nullopt;
    }
    return good ? std::string{} : why.text();
}

std::vector<fs::path> files_below(const fs::path& folder)
{
    std::vector<fs::path> files;
    std::error_code failed;
    for (const auto& item : fs::recursive_directory_iterator{folder, failed}) {
        if (item.is_regular_file()) {
            files.push_back(item.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

exit_status run_log(session&, const words& rest)
{
    if (rest.size() != 2 || rest[0] != "inspect") {
        return fail("usage: log inspect DIR", exit_status::usage);
    }
    log::recovery_report report;
    const auto state = log::read_replica(rest[1], report);
    std::cout << "records " << report.records << "\nterm " << state.hard.term << "\nvoted for "
              << state.hard.voted_for << "\nsnapshot at "
              << (state.base ? state.base->last_index : 0) << "\nentries " << state.entries.size()
              << "\ntorn tail " << report.cut_bytes << " bytes\ndamage "
              << (report.damage.empty() ? "none" : report.damage) << "\n";
    return report.damage.empty() ? exit_status::done : exit_status::failed;
}

exit_status run_check_settings(session&, const words& rest)
{
    core::error_message why;
    const auto text = rest.size() == 2 ? config::read_file(rest[1], why) : std::nullopt;
    if (!text) {
        return fail(rest.size() == 2
                        ? rest[1] + ": " + why.text()
                        : "usage: check-settings gateway|coordinator|entry|control FILE",
                    exit_status::usage);
    }
    const auto faults = faults_of(rest[0], *text);
    if (!faults) {
        return fail("there is no program \"" + rest[0] + "\"", exit_status::usage);
    }
    if (!faults->empty()) {
        return fail(rest[1] + ":\n" + *faults, exit_status::usage);
    }
    std::cout << rest[1] << ": valid settings of siskindrift-" << rest[0] << "\n";
    return exit_status::done;
}

exit_status run_check_document(session&, const words& rest)
{
    core::error_message why;
    const auto text = rest.size() == 1 ? config::read_file(rest[0], why) : std::nullopt;
    if (!text) {
        return fail(rest.size() == 1 ? rest[0] + ": " + why.text() : "usage: check-config FILE",
                    exit_status::usage);
    }
    const auto document = platform::decode_deployment(*text, why);
    if (!document) {
        return fail(rest[0] + ": " + why.text(), exit_status::usage);
    }
    std::cout << rest[0] << ": version " << document->version << ", " << document->routes.size()
              << " routes, " << document->services.size() << " services\n";
    return exit_status::done;
}

exit_status explain_from_logs(const ctl_options& options, const std::string& request)
{
    observe::request_log_filter filter;
    const auto files = files_below(options.logs);
    for (const auto& path : files) {
        std::ifstream file{path};
        for (std::string line; std::getline(file, line);) {
            filter.read_line(line);
        }
    }
    if (files.empty()) {
        return fail("no files below " + options.logs, exit_status::usage);
    }
    const auto lines = filter.lines_for_request(request);
    for (const auto& line : lines) {
        std::cout << observe::to_text(line) << "\n";
    }
    if (filter.dropped_lines() > 0) {
        std::cerr << "the processes left out " << filter.dropped_lines()
                  << " lines; what is missing here may be among them\n";
    }
    return lines.empty() ? fail("no line of " + std::to_string(files.size()) +
                                " files names request " + request)
                         : exit_status::done;
}

} // namespace siskindrift::apps
