#include "entry_world.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <functional>

#include "siskindrift/core/idempotency_key.h"
#include "siskindrift/standins/token_model.h"

namespace siskindrift::tests {

namespace json = boost::json;
using core::verdict;
using requests::call_end;

namespace {

constexpr std::uint64_t tick_ms = 10;
constexpr std::uint64_t token_ms = 20;
constexpr std::uint64_t load_ms = 250;
constexpr std::uint64_t config_bound_ms = 5000;
constexpr std::uint64_t leaving_bound_ms = 2000;
constexpr std::size_t adapter_count = 12;
constexpr const char* team_key = "team-key-of-the-fuzz";

const std::array<const char*, static_cast<std::size_t>(event_kind::count)> event_names{
    "run",          "kill_vm",        "restart_vm",     "freeze_vm",     "thaw_vm",
    "cut",          "heal",           "cut_control",    "model_request", "service_request",
    "resend_key",   "caller_leaves",  "restart_engine", "silent_engine", "lose_answer",
    "cross_answer", "wrong_adapter",  "refuse",         "fail_load",     "leave",
    "serve",        "retire_version", "create_version", "drain_vm",      "bounce_vm"};

std::string vm_name(std::size_t index)
{
    return "vm-" + std::to_string(index);
}

std::string adapter_name(std::size_t index)
{
    return "adapter-" + std::to_string(index % adapter_count);
}

std::string without_attempt(const std::string& request_id)
{
    return request_id.substr(0, request_id.rfind('.'));
}

std::string text_at(const json::object& object, const char* name)
{
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->as_string()} : "";
}

std::string header(const requests::upstream_call& call, const std::string& name)
{
    for (const auto& [key, value] : call.headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

wire::config_operation_t put_operation(const std::string& key, const json::value& value)
{
    wire::config_operation_t operation;
    operation.key = key;
    operation.value = json::serialize(value);
    return operation;
}

json::value adapter_entry(bool with_second)
{
    json::array versions{"1"};
    if (with_second) {
        versions.emplace_back("2");
    }
    return {{"team", "team"}, {"base_model", "base"}, {"versions", versions}};
}

} // namespace

std::ostream& operator<<(std::ostream& out, const event& value)
{
    return out << event_names[static_cast<std::size_t>(value.kind)] << "(" << int{value.a} << ","
               << int{value.b} << ")";
}

/// Feeds the outputs of one VM into the simulation.
class world_outputs final : public requests::entry_outputs {
public:
    world_outputs(entry_world& world, std::size_t index) : m_world(world), m_index(index) {}

    void send_peer(const std::string& address, wire::envelope_t message) override
    {
        const auto to = m_world.vm_index(address);
        const auto roll = m_world.m_lossy ? core::uniform_below(m_world.m_random, 400) : 100;
        if (m_world.m_cuts.contains({m_index, to}) || roll < 1) {
            return;
        }
        const auto delay = roll < 8 ? core::uniform_below(m_world.m_random, 400)
                                    : core::uniform_below(m_world.m_random, 4);
        for (int copy = 0; copy < (roll >= 398 ? 2 : 1); ++copy) {
            m_world.deliver_to_vm(to, delay,
                                  [message](requests::entry_core& core) { core.on_peer(message); });
        }
    }

    void send_control(const std::string&, wire::control_request_t request) override
    {
        if (m_world.m_control_cuts.contains(m_index)) {
            return;
        }
        const control::client_id client = m_index << 32 | m_world.m_vms[m_index].generation;
        m_world.m_clients[client] = {m_index, m_world.m_vms[m_index].generation};
        m_world.schedule(1, [&world = m_world, client, request] {
            world.m_control->on_request(client, request);
        });
    }

    void start_call(requests::upstream_call call) override
    {
        m_world.on_call(m_index, std::move(call));
    }

    void cancel_call(requests::call_id call) override
    {
        for (auto& one : m_world.m_runs) {
            if (one.call == call && one.vm == m_index &&
                one.generation == m_world.m_vms[m_index].generation) {
                one.open = false;
            }
        }
    }

    void stream_piece(requests::caller_id caller, const requests::caller_request& request,
                      const std::string& text) override
    {
        if (m_world.m_request_by_caller.contains(caller)) {
            m_world.m_issued.at(request.id.value()).text += text;
        }
    }

    void finish(requests::caller_id caller, const requests::caller_request&,
                requests::final_response answer) override
    {
        m_world.on_finish(caller, answer);
    }

    void keep_peer_connected(const std::string&, bool) override {}
    void store_config(const wire::config_page_t&) override {}
    void count_reason(core::reason) override {}
    void increment_counter(const char*) override {}
    void observe_ms(const char*, double) override {}

private:
    entry_world& m_world;
    std::size_t m_index;
};

entry_world::entry_world(std::uint64_t seed, const std::string& policy, bool lossy)
    : m_random(seed), m_lossy(lossy)
{
    m_control = std::make_unique<control::control_core>(
        core::replica_id{1}, consensus::recovered_state{}, control::control_options{}, seed,
        m_control_clock, nullptr);
    wire::form_cluster_t form;
    form.vm = "control";
    form.address = "control";
    m_control->on_request(0, wire::make_control_request(form));
    wire::apply_change_t change;
    change.change_id = "first";
    wire::append(change.operations,
                 put_operation("deployment", {{"policy", policy}, {"loads_per_second", 20.0}}));
    wire::append(change.operations,
                 put_operation("team/team", {{"key_hashes", {config::sha256_hex(team_key)}},
                                             {"requests_per_second", 10000.0},
                                             {"max_concurrent", 1000},
                                             {"max_queued", 1000}}));
    wire::append(change.operations,
                 put_operation("service/filing", {{"teams", {"team"}}, {"repeatable", false}}));
    for (std::size_t i = 0; i < adapter_count; ++i) {
        wire::append(change.operations,
                     put_operation("adapter/" + adapter_name(i), adapter_entry(true)));
    }
    m_vms.resize(vm_count);
    for (std::size_t i = 0; i < vm_count; ++i) {
        start_vm(i);
    }
    m_engines.resize(engine_count + 1);
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        m_engines[i].id = i < engine_count ? "engine-" + std::to_string(i) : "filing-0";
        m_engines[i].service = i == engine_count;
        m_engines[i].checks_fencing = i % 2 == 0;
        announce(i);
    }
    run_for(2000);
    m_control->on_request(0, wire::make_control_request(std::move(change)));
    run_for(7000); // time for election, initial permit delay, registration and ownership
}

entry_world::~entry_world() = default;

void entry_world::record_violation(const std::string& text)
{
    if (m_violation.empty()) {
        m_violation = "at " + std::to_string(m_now_ms) + " ms: " + text;
    }
}

std::string entry_world::trace_of(std::size_t index, const std::string& id) const
{
    std::string text;
    if (m_vms[index].core) {
        for (const auto& line : m_vms[index].core->context().trace.lines_of(id)) {
            text += "\n  " + line;
        }
    }
    return text;
}

std::size_t entry_world::vm_index(const std::string& address) const
{
    return std::stoul(address.substr(address.find('-') + 1));
}

void entry_world::start_vm(std::size_t index)
{
    auto& one = m_vms[index];
    ++one.generation;
    one.outputs = std::make_unique<world_outputs>(*this, index);
    one.clock = one.clock ? std::move(one.clock) : std::make_unique<core::manual_clock>();
    requests::entry_identity self{vm_name(index), index * 1000 + one.generation, vm_name(index),
                                  vm_name(index), "domain"};
    requests::entry_options options;
    options.endpoints_ttl = core::milliseconds{1000};
    one.core = std::make_unique<requests::entry_core>(
        *one.clock, *one.outputs, options, self, std::vector<std::string>{"control"}, m_random());
    one.frozen = one.draining = one.leaving = false;
    one.frozen_actions.clear();
}

void entry_world::schedule(std::uint64_t ms, std::function<void()> action)
{
    m_events.emplace(m_now_ms + ms, std::move(action));
}

void entry_world::deliver_to_vm(std::size_t index, std::uint64_t delay,
                                std::function<void(requests::entry_core&)> action)
{
    const auto generation = m_vms[index].generation;
    schedule(delay, [this, index, generation, action = std::move(action)] {
        auto& target = m_vms[index];
        if (!target.core || target.generation != generation) {
            return;
        }
        if (target.frozen) {
            target.frozen_actions.push_back([this, index, generation, action] {
                if (m_vms[index].core && m_vms[index].generation == generation) {
                    action(*m_vms[index].core);
                }
            });
            return;
        }
        action(*target.core);
    });
}

void entry_world::drive_control()
{
    m_control->tick();
    const auto work = m_control->take_ready();
    m_control->apply_ready(work);
    for (const auto& reply : m_control->take_replies()) {
        const auto client = m_clients.find(reply.client);
        if (client == m_clients.end()) {
            continue;
        }
        const auto [index, generation] = client->second;
        if (m_control_cuts.contains(index) || m_vms[index].generation != generation) {
            continue;
        }
        deliver_to_vm(index, 1, [answer = reply.reply](requests::entry_core& core) {
            core.on_control_reply(answer);
        });
    }
}

void entry_world::tick()
{
    m_now_ms += tick_ms;
    const core::milliseconds step{tick_ms};
    m_control_clock.advance(step);
    for (auto& one : m_vms) {
        one.clock->advance(step);
    }
    while (!m_events.empty() && m_events.begin()->first <= m_now_ms) {
        const auto action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
    }
    drive_control();
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        auto& one = m_vms[i];
        if (!one.core || one.frozen) {
            continue;
        }
        one.core->tick();
        if (one.draining && !one.leaving && one.core->drained()) {
            one.core->leave();
            one.leaving = true;
            one.leave_at = m_now_ms + 100;
        }
        else if (one.leaving && m_now_ms >= one.leave_at) {
            if (one.core->request_ingress().open_requests() +
                    one.core->upstream_owner().open_work_items() >
                0) {
                record_violation("a graceful stop of " + vm_name(i) + " cut off requests");
            }
            kill(i);
        }
    }
}

void entry_world::run_for(std::uint64_t ms)
{
    const auto end = m_now_ms + ms;
    while (m_now_ms < end && m_violation.empty()) {
        tick();
    }
}

void entry_world::announce(std::size_t index)
{
    auto& one = m_engines[index];
    ++one.sequence;
    wire::announcement_t announcement;
    announcement.upstream = one.id;
    announcement.incarnation = one.incarnation;
    announcement.address = std::to_string(index);
    announcement.failure_domain = "domain";
    announcement.kind = one.service ? wire::upstream_kind::service : wire::upstream_kind::engine;
    announcement.service = one.service ? "filing" : "";
    announcement.base_model = "base";
    announcement.slots = 3;
    announcement.batch = 4;
    announcement.sequence = one.sequence;
    announcement.state =
        one.leaving_since ? wire::upstream_state::leaving : wire::upstream_state::serving;
    for (const auto& adapter : one.adapters) {
        wire::resident_info_t info;
        info.adapter = adapter;
        info.running = static_cast<std::uint32_t>(
            std::count_if(m_runs.begin(), m_runs.end(), [&](const auto& run) {
                return run.open && run.engine == index && run.adapter == adapter;
            }));
        wire::append(announcement.residents, info);
    }
    // An upstream whose announcement gets no response from one VM sends it to another.
    for (std::size_t tries = 0; tries < vm_count; ++tries) {
        const auto to = core::uniform_below(m_random, vm_count);
        if (m_vms[to].core && !m_vms[to].frozen) {
            deliver_to_vm(
                to, 1 + core::uniform_below(m_random, 60),
                [announcement](requests::entry_core& core) { core.on_announcement(announcement); });
            break;
        }
    }
    schedule(900, [this, index] { announce(index); });
}

void entry_world::submit(std::size_t index, issued_request issued)
{
    auto& target = m_vms[index];
    if (!target.core || target.frozen) {
        return;
    }
    requests::raw_request raw;
    raw.method = "POST";
    raw.deadline_ms = "15000";
    if (issued.service) {
        raw.target = "/v1/services/filing/submit";
        raw.body = issued.key;
        raw.idempotency_key = issued.key;
    }
    else {
        raw.target = "/v1/completions";
        raw.body = json::serialize(json::value{{"model", issued.adapter},
                                               {"prompt", issued.prompt},
                                               {"max_tokens", issued.tokens},
                                               {"stream", true}});
    }
    requests::refusal why;
    auto request = requests::parse_request(raw, why);
    if (!request) {
        record_violation("a well-formed request was refused: " + why.message);
        return;
    }
    request->id = target.core->new_request_id();
    issued.vm = index;
    issued.at_ms = m_now_ms;
    const auto caller = m_next_caller++;
    m_request_by_caller[caller] = request->id.value();
    m_issued[request->id.value()] = std::move(issued);
    target.core->on_request(caller, std::string{"Bearer "} + team_key, std::move(*request));
}

void entry_world::on_finish(requests::caller_id caller, const requests::final_response& answer)
{
    if (answer.outcome.reason == core::reason::unauthorized) {
        record_violation("a valid team key was rejected as unauthorized");
    }
    const auto found = m_request_by_caller.find(caller);
    if (found == m_request_by_caller.end()) {
        return;
    }
    const auto id = found->second;
    m_request_by_caller.erase(found);
    auto& issued = m_issued.at(id);
    issued.verdict = answer.outcome.verdict;
    switch (answer.outcome.verdict) {
    case verdict::ran: {
        ++m_totals.ran;
        const bool complete_answer =
            issued.service ? answer.body == "done " + issued.key
                           : issued.text == standins::expected_text(issued.adapter, issued.prompt,
                                                                    issued.tokens);
        if (!complete_answer) {
            record_violation(id + " got an incomplete answer or one of another request" +
                             trace_of(issued.vm, id));
        }
        const auto retired = m_retired_at.find(issued.adapter);
        if (retired != m_retired_at.end() && issued.at_ms > retired->second + config_bound_ms) {
            record_violation(id +
                             " was served with a configuration superseded more than 5 s before");
        }
        break;
    }
    case verdict::not_run:
        ++m_totals.not_run;
        if (m_runs_by_request[id] > 0) {
            record_violation(id + " got the verdict not_run but ran");
        }
        break;
    case verdict::may_have_run:
        ++m_totals.may_have_run;
        break;
    }
}

bool entry_world::consume_armed(engine& target, event_kind kind)
{
    auto& left = target.armed[kind];
    if (left == 0) {
        return false;
    }
    --left;
    return true;
}

void entry_world::on_call(std::size_t from, requests::upstream_call call)
{
    const auto generation = m_vms[from].generation;
    schedule(1 + core::uniform_below(m_random, 5), [this, from, generation, call] {
        if (m_vms[from].generation != generation) {
            return; // the VM crashed before the request was sent
        }
        const auto index = std::stoul(call.address);
        auto& target = m_engines[index];
        const std::uint64_t fencing = std::stoull(header(call, "Siskindrift-Fencing"));
        if (target.checks_fencing && fencing < target.fencing) {
            deliver_to_vm(
                from, 1,
                [id = call.id, echo = header(call, "X-Request-Id")](requests::entry_core& core) {
                    core.on_call_head(id, {409, "", echo, false});
                    core.on_call_end(id, call_end::complete);
                });
            return;
        }
        target.fencing = std::max(target.fencing, fencing);
        if (call.path.ends_with("lora_adapter")) {
            on_adapter_call(from, call, target);
        }
        else {
            start_run(from, call, index);
        }
    });
}

void entry_world::on_adapter_call(std::size_t from, const requests::upstream_call& call,
                                  engine& target)
{
    const auto adapter = text_at(json::parse(call.body).as_object(), "lora_name");
    const bool load = call.path.starts_with("/v1/load");
    if (!load) {
        for (const auto& run : m_runs) {
            if (run.open && m_engines[run.engine].id == target.id && run.adapter == adapter) {
                record_violation(vm_name(from) + " evicted " + adapter + " from " + target.id +
                                 " while a request of " + vm_name(run.vm) + " ran on it");
            }
        }
        target.adapters.erase(adapter);
    }
    const bool fails = load && consume_armed(target, event_kind::fail_load);
    const auto incarnation = target.incarnation;
    const auto name = target.id;
    schedule(load ? load_ms : 1,
             [this, from, id = call.id, adapter, load, fails, incarnation, name] {
                 auto& now = *std::find_if(m_engines.begin(), m_engines.end(),
                                           [&](const auto& one) { return one.id == name; });
                 if (now.incarnation != incarnation) {
                     deliver_to_vm(from, 1, [id](requests::entry_core& core) {
                         core.on_call_end(id, call_end::lost);
                     });
                     return;
                 }
                 if (load && !fails && now.adapters.size() < 3) {
                     now.adapters.insert(adapter);
                 }
                 const std::uint16_t status = fails ? 500 : 200;
                 deliver_to_vm(from, 1, [id, status](requests::entry_core& core) {
                     core.on_call_head(id, {status, "", "", false});
                     core.on_call_end(id, call_end::complete);
                 });
             });
}

void entry_world::record_run(const engine& target, const requests::upstream_call& call,
                             const std::string& adapter)
{
    ++m_totals.runs;
    const auto request = without_attempt(header(call, "X-Request-Id"));
    ++m_runs_by_request[request];
    const auto found = m_issued.find(request);
    if (found == m_issued.end()) {
        record_violation("an engine ran an unknown request " + request);
        return;
    }
    if (found->second.verdict == verdict::not_run) {
        record_violation(request + " ran after its verdict was not_run");
    }
    if (!target.service && adapter != found->second.adapter) {
        record_violation(request + " ran on " + adapter + " instead of " + found->second.adapter);
    }
    if (target.service && ++m_runs_by_key[found->second.key] > 1) {
        record_violation("the non-idempotent key " + found->second.key + " ran twice");
    }
    if (target.leaving_since && m_now_ms > *target.leaving_since + leaving_bound_ms) {
        record_violation(target.id + " got new work " +
                         std::to_string(m_now_ms - *target.leaving_since) +
                         " ms after it announced that it is leaving");
    }
}

void entry_world::start_run(std::size_t from, const requests::upstream_call& call,
                            std::size_t index)
{
    auto& target = m_engines[index];
    const auto echo = header(call, "X-Request-Id");
    engine_run one;
    one.vm = from;
    one.generation = m_vms[from].generation;
    one.call = call.id;
    one.engine = index;
    one.incarnation = target.incarnation;
    one.reported_id = echo;
    const bool refuses = consume_armed(target, event_kind::refuse);
    if (!target.service) {
        const auto body = json::parse(call.body).as_object();
        one.adapter = one.reported_adapter = text_at(body, "model");
        if (refuses || !target.adapters.contains(one.adapter)) {
            deliver_to_vm(from, 1, [id = call.id, echo](requests::entry_core& core) {
                core.on_call_head(id, {404, "", echo, false});
                core.on_call_end(id, call_end::complete);
            });
            return;
        }
        if (consume_armed(target, event_kind::wrong_adapter)) {
            one.reported_adapter = "another@1"; // the engine runs the request on another adapter
        }
        const bool crossed =
            !target.previous_id.empty() && consume_armed(target, event_kind::cross_answer);
        one.reported_id = crossed ? target.previous_id : echo;
        const auto prompt =
            crossed ? "the prompt of " + target.previous_id : text_at(body, "prompt");
        standins::token_model model{one.reported_adapter, prompt};
        const auto tokens = body.at("max_tokens").to_number<int>();
        for (int i = 0; i < tokens; ++i) {
            one.pieces.push_back(model.next());
        }
    }
    else if (refuses) {
        deliver_to_vm(from, 1, [id = call.id, echo](requests::entry_core& core) {
            core.on_call_head(id, {503, "", echo, true});
        });
        return;
    }
    else {
        const bool crossed =
            !target.previous_id.empty() && consume_armed(target, event_kind::cross_answer);
        one.reported_id = crossed ? target.previous_id : echo;
        one.pieces = {"done " + (crossed ? "for another" : header(call, "Idempotency-Key"))};
    }
    record_run(target, call, one.adapter);
    one.lost = consume_armed(target, event_kind::lose_answer);
    target.previous_id = echo;
    m_runs.push_back(std::move(one));
    const auto run = m_runs.size() - 1;
    deliver_to_vm(
        from, 1, [id = call.id, reported_id = m_runs[run].reported_id](requests::entry_core& core) {
            core.on_call_head(id, {200, "text/plain", reported_id, false});
        });
    schedule(token_ms, [this, run] { step_run(run); });
}

void entry_world::end_call(const engine_run& one, call_end how, std::uint64_t delay)
{
    if (m_vms[one.vm].generation != one.generation) {
        return;
    }
    deliver_to_vm(one.vm, delay,
                  [id = one.call, how](requests::entry_core& core) { core.on_call_end(id, how); });
}

void entry_world::step_run(std::size_t run)
{
    auto& one = m_runs[run];
    const bool gone = m_vms[one.vm].generation != one.generation;
    if (!one.open || gone) {
        one.open = false; // the engine detects that its client has disconnected
        return;
    }
    const auto& target = m_engines[one.engine];
    if (target.incarnation != one.incarnation) {
        one.open = false;
        end_call(one, call_end::lost, 1);
        return;
    }
    const auto piece = one.pieces[one.next++];
    if (one.silent) {
        if (one.next == one.pieces.size()) {
            one.open = false;
            end_call(one, call_end::silent, 1500);
        }
    }
    else {
        std::string bytes = piece;
        if (!target.service) {
            bytes = "data: " +
                    json::serialize(json::value{{"model", one.reported_adapter},
                                                {"choices", {{{"text", piece}}}}}) +
                    "\n\n";
        }
        const bool last = one.next == one.pieces.size();
        if (last && !target.service) {
            bytes += "data: [DONE]\n\n";
        }
        if (!(last && one.lost)) {
            deliver_to_vm(one.vm, 1, [id = one.call, bytes](requests::entry_core& core) {
                core.on_call_data(id, bytes);
            });
        }
        if (last) {
            one.open = false;
            // A crashing engine may close its response cleanly, without the end marker.
            const bool broken = one.lost && (target.service || run % 2 == 0);
            end_call(one, broken ? call_end::lost : call_end::complete, 2);
        }
    }
    if (one.open) {
        schedule(token_ms, [this, run] { step_run(run); });
    }
}

void entry_world::kill(std::size_t index)
{
    auto& one = m_vms[index];
    one.core.reset();
    ++one.generation;
    for (std::size_t other = 0; other < m_vms.size(); ++other) {
        deliver_to_vm(other, 5, [address = vm_name(index)](requests::entry_core& core) {
            core.on_connection_state(address, false);
        });
    }
    for (auto caller = m_request_by_caller.begin(); caller != m_request_by_caller.end();) {
        const bool lost = m_issued.at(caller->second).vm == index;
        m_totals.lost_callers += lost ? 1 : 0;
        caller = lost ? m_request_by_caller.erase(caller) : std::next(caller);
    }
}

void entry_world::config_change(const event& next)
{
    const bool retire = next.kind == event_kind::retire_version;
    const auto name = adapter_name(next.a);
    wire::apply_change_t change;
    change.change_id = "change-" + std::to_string(m_next_change++);
    change.expected_revision = m_control->state().revision();
    wire::append(change.operations, put_operation("adapter/" + name, adapter_entry(!retire)));
    m_control->on_request(0, wire::make_control_request(std::move(change)));
    drive_control();
    drive_control();
    if (retire) {
        m_retired_at.try_emplace(name + "@2", m_now_ms);
    }
    else {
        m_retired_at.erase(name + "@2");
    }
}

void entry_world::apply(const event& next)
{
    const std::size_t index = next.a % m_vms.size();
    const std::size_t other = next.b % m_vms.size();
    auto& one = m_vms[index];
    auto& target = m_engines[next.a % m_engines.size()];
    switch (next.kind) {
    case event_kind::run:
    case event_kind::count:
        run_for(50 + 20ULL * next.a);
        break;
    case event_kind::kill_vm:
        if (one.core) {
            kill(index);
        }
        break;
    case event_kind::restart_vm:
        if (!one.core) {
            start_vm(index);
            for (std::size_t peer = 0; peer < m_vms.size(); ++peer) {
                deliver_to_vm(peer, 100, [address = vm_name(index)](requests::entry_core& core) {
                    core.on_connection_state(address, true);
                });
            }
        }
        break;
    case event_kind::bounce_vm:
        if (one.core) {
            kill(index);
            run_for(100);
            apply({event_kind::restart_vm, next.a, 0});
        }
        break;
    case event_kind::freeze_vm:
        if (one.core && !one.frozen) {
            one.frozen = true;
            for (std::size_t peer = 0; peer < m_vms.size(); ++peer) {
                deliver_to_vm(peer, 1300, [address = vm_name(index)](requests::entry_core& core) {
                    core.on_connection_state(address, false);
                });
            }
        }
        break;
    case event_kind::thaw_vm:
        if (one.core && one.frozen) {
            one.frozen = false;
            for (const auto& action : std::exchange(one.frozen_actions, {})) {
                action();
            }
            for (std::size_t peer = 0; peer < m_vms.size(); ++peer) {
                deliver_to_vm(peer, 200, [address = vm_name(index)](requests::entry_core& core) {
                    core.on_connection_state(address, true);
                });
            }
        }
        break;
    case event_kind::cut:
        if (index != other) {
            m_cuts.insert({index, other});
            deliver_to_vm(index, 1300, [address = vm_name(other)](requests::entry_core& core) {
                core.on_connection_state(address, false);
            });
            deliver_to_vm(other, 1300, [address = vm_name(index)](requests::entry_core& core) {
                core.on_connection_state(address, false);
            });
        }
        break;
    case event_kind::heal:
        for (const auto& [from, to] : std::exchange(m_cuts, {})) {
            deliver_to_vm(from, 200, [address = vm_name(to)](requests::entry_core& core) {
                core.on_connection_state(address, true);
            });
            deliver_to_vm(to, 200, [address = vm_name(from)](requests::entry_core& core) {
                core.on_connection_state(address, true);
            });
        }
        m_control_cuts.clear();
        break;
    case event_kind::cut_control:
        m_control_cuts.insert(index);
        break;
    case event_kind::model_request: {
        issued_request issued;
        issued.adapter = adapter_name(next.b) + (next.b % 3 == 0 ? "@2" : "@1");
        issued.number = m_next_number++;
        issued.prompt = "prompt " + std::to_string(issued.number);
        issued.tokens = 3 + next.b % 20;
        submit(index, std::move(issued));
        break;
    }
    case event_kind::service_request:
    case event_kind::resend_key: {
        issued_request issued;
        issued.service = true;
        const bool resend = next.kind == event_kind::resend_key && !m_keys.empty();
        if (resend) {
            issued.key =
                m_keys[m_keys.size() - 1 - next.b % std::min<std::size_t>(m_keys.size(), 5)];
        }
        else {
            issued.key =
                core::make_idempotency_key(m_control_clock.wall_ms(), m_random(), m_random());
            m_keys.push_back(issued.key);
        }
        submit(index, std::move(issued));
        break;
    }
    case event_kind::caller_leaves:
        if (!m_request_by_caller.empty()) {
            auto caller = m_request_by_caller.begin();
            std::advance(caller, next.b % m_request_by_caller.size());
            const auto number = caller->first;
            const auto at_vm = m_issued.at(caller->second).vm;
            m_request_by_caller.erase(caller);
            deliver_to_vm(at_vm, 1,
                          [number](requests::entry_core& core) { core.on_caller_left(number); });
        }
        break;
    case event_kind::restart_engine:
        ++target.incarnation;
        target.sequence = 0;
        target.fencing = 0;
        target.adapters.clear();
        target.leaving_since.reset();
        break;
    case event_kind::silent_engine:
        for (auto& run : m_runs) {
            run.silent = run.silent || (run.open && run.engine == next.a % m_engines.size());
        }
        break;
    case event_kind::lose_answer:
    case event_kind::cross_answer:
    case event_kind::wrong_adapter:
    case event_kind::refuse:
    case event_kind::fail_load:
        ++target.armed[next.kind];
        break;
    case event_kind::leave:
        if (!target.leaving_since) {
            target.leaving_since = m_now_ms;
        }
        break;
    case event_kind::serve:
        target.leaving_since.reset();
        break;
    case event_kind::retire_version:
    case event_kind::create_version:
        config_change(next);
        break;
    case event_kind::drain_vm:
        if (one.core && !one.frozen) {
            one.draining = true;
            one.core->drain();
        }
        break;
    }
    run_for(20);
}

void entry_world::settle()
{
    apply({event_kind::heal, 0, 0});
    for (std::uint8_t i = 0; i < vm_count; ++i) {
        apply({event_kind::thaw_vm, i, 0});
        apply({event_kind::restart_vm, i, 0});
    }
    run_for(22'000); // longer than the deadline of every request
    for (const auto& [caller, id] : m_request_by_caller) {
        record_violation(id + " never got a final answer");
    }
}

} // namespace siskindrift::tests
