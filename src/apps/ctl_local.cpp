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

// Returns the errors in a settings file, an empty text if there are none, or no value if the
// program is unknown.
std::optional<std::string> settings_errors(const std::string& program, const std::string& text)
{
    core::error_message error;
    bool valid = false;
    if (program == "gateway") {
        valid = config::read_gateway_settings(text, error).has_value();
    }
    else if (program == "coordinator") {
        valid = config::read_coordinator_settings(text, error).has_value();
    }
    else if (program == "entry") {
        valid = config::read_entry_settings(text, error).has_value();
    }
    else if (program == "control") {
        valid = config::read_control_settings(text, error).has_value();
    }
    else {
        return std::nullopt;
    }
    return valid ? std::string{} : error.text();
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

exit_status run_log(ctl_session&, const argument_list& arguments)
{
    if (arguments.size() != 2 || arguments[0] != "inspect") {
        return fail("usage: log inspect DIR", exit_status::usage);
    }
    log::recovery_report report;
    const auto state = log::read_replica(arguments[1], report);
    std::cout << "records " << report.records << "\nterm " << state.hard.term << "\nvoted for "
              << state.hard.voted_for << "\nsnapshot at "
              << (state.base ? state.base->last_index : 0) << "\nentries " << state.entries.size()
              << "\ntruncated tail " << report.cut_bytes << " bytes\ndamage "
              << (report.damage.empty() ? "none" : report.damage) << "\n";
    return report.damage.empty() ? exit_status::done : exit_status::failed;
}

exit_status run_check_settings(ctl_session&, const argument_list& arguments)
{
    core::error_message error;
    const auto text = arguments.size() == 2 ? config::read_file(arguments[1], error) : std::nullopt;
    if (!text) {
        return fail(arguments.size() == 2
                        ? arguments[1] + ": " + error.text()
                        : "usage: check-settings gateway|coordinator|entry|control FILE",
                    exit_status::usage);
    }
    const auto errors = settings_errors(arguments[0], *text);
    if (!errors) {
        return fail("unknown program \"" + arguments[0] + "\"", exit_status::usage);
    }
    if (!errors->empty()) {
        return fail(arguments[1] + ":\n" + *errors, exit_status::usage);
    }
    std::cout << arguments[1] << ": valid settings of siskindrift-" << arguments[0] << "\n";
    return exit_status::done;
}

exit_status run_check_document(ctl_session&, const argument_list& arguments)
{
    core::error_message error;
    const auto text = arguments.size() == 1 ? config::read_file(arguments[0], error) : std::nullopt;
    if (!text) {
        return fail(arguments.size() == 1 ? arguments[0] + ": " + error.text()
                                          : "usage: check-config FILE",
                    exit_status::usage);
    }
    const auto document = platform::decode_deployment(*text, error);
    if (!document) {
        return fail(arguments[0] + ": " + error.text(), exit_status::usage);
    }
    std::cout << arguments[0] << ": version " << document->version << ", "
              << document->routes.size() << " routes, " << document->services.size()
              << " services\n";
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
        return fail("no files in " + options.logs, exit_status::usage);
    }
    const auto lines = filter.lines_for_request(request);
    for (const auto& line : lines) {
        std::cout << observe::to_text(line) << "\n";
    }
    if (filter.dropped_lines() > 0) {
        std::cerr << "the processes dropped " << filter.dropped_lines()
                  << " log lines; the output may be incomplete\n";
    }
    return lines.empty() ? fail("no line of " + std::to_string(files.size()) +
                                " files mentions request " + request)
                         : exit_status::done;
}

} // namespace siskindrift::apps
