#include "ctl_commands.h"

#include <functional>
#include <map>

#include "ctl_session.h"

namespace siskindrift::apps {
namespace {

using command = std::function<exit_status(session&, const words&)>;

const std::map<std::string, command>& commands()
{
    static const std::map<std::string, command> table{
        {"questionnaire", run_questionnaire},
        {"team", [](session& at, const words& rest) { return run_entries(at, "team/", rest); }},
        {"adapter",
         [](session& at, const words& rest) { return run_entries(at, "adapter/", rest); }},
        {"service",
         [](session& at, const words& rest) { return run_entries(at, "service/", rest); }},
        {"upstream",
         [](session& at, const words& rest) { return run_entries(at, "upstream/", rest); }},
        {"version", run_version},
        {"config", run_config},
        {"status", run_status},
        {"explain",
         [](session& at, const words& rest) {
             return at.options.logs.empty() || rest.size() != 1
                        ? run_explain(at, rest)
                        : explain_from_logs(at.options, rest[0]);
         }},
        {"drain", run_drain},
        {"control", run_control},
        {"log", run_log},
        {"check-settings", run_check_settings},
        {"check-config", run_check_document}};
    return table;
}

} // namespace

std::string command_help()
{
    return R"(Commands
  questionnaire init | schema | check FILE | generate FILE | apply FILE
  team|adapter|service|upstream list | show NAME | create NAME JSON | change NAME JSON | retire NAME
  version list ADAPTER | create ADAPTER@VERSION | retire ADAPTER@VERSION
  config show | history | diff SINCE-REVISION | put FILE [EXPECTED-REVISION]
  status
  explain REQUEST-ID [--logs DIR]
  drain VM | UPSTREAM
  control form VM ADDRESS | add VM ADDRESS | replace VM ADDRESS | remove REPLICA-ID
  log inspect DIR
  check-settings gateway|coordinator|entry|control FILE
  check-config FILE

Exit status: 0 done, 1 refused or unreachable, 2 wrong command line or input, 3 conflict
)";
}

exit_status run_command(const std::vector<std::string>& given, const ctl_options& options)
{
    const auto found = given.empty() ? commands().end() : commands().find(given.front());
    if (found == commands().end()) {
        return fail(command_help(), exit_status::usage);
    }
    session at{options, control_connection{options.control, options.token}};
    return found->second(at, words{given.begin() + 1, given.end()});
}

} // namespace siskindrift::apps
