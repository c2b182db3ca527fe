#include "ctl_commands.h"

#include <functional>
#include <map>

#include "ctl_session.h"

namespace siskindrift::apps {
namespace {

using command_function = std::function<exit_status(ctl_session&, const argument_list&)>;

const std::map<std::string, command_function>& commands()
{
    static const std::map<std::string, command_function> table{
        {"questionnaire", run_questionnaire},
        {"team",
         [](ctl_session& session, const argument_list& arguments) {
             return run_entries(session, "team/", arguments);
         }},
        {"adapter",
         [](ctl_session& session, const argument_list& arguments) {
             return run_entries(session, "adapter/", arguments);
         }},
        {"service",
         [](ctl_session& session, const argument_list& arguments) {
             return run_entries(session, "service/", arguments);
         }},
        {"upstream",
         [](ctl_session& session, const argument_list& arguments) {
             return run_entries(session, "upstream/", arguments);
         }},
        {"version", run_version},
        {"config", run_config},
        {"status", run_status},
        {"explain",
         [](ctl_session& session, const argument_list& arguments) {
             return session.options.logs.empty() || arguments.size() != 1
                        ? run_explain(session, arguments)
                        : explain_from_logs(session.options, arguments[0]);
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

exit_status run_command(const std::vector<std::string>& arguments, const ctl_options& options)
{
    const auto found = arguments.empty() ? commands().end() : commands().find(arguments.front());
    if (found == commands().end()) {
        return fail(command_help(), exit_status::usage);
    }
    ctl_session session{options, control_client{options.control, options.token}};
    return found->second(session, argument_list{arguments.begin() + 1, arguments.end()});
}

} // namespace siskindrift::apps
