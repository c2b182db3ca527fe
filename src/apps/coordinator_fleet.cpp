#include <algorithm>

#include "coordinator_process.h"
#include "platform/deployment_codec.h"
#include "platform/upstream_codec.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::apps {
namespace {

constexpr core::milliseconds flush_every{400};   // a third of the time between announcements
constexpr core::milliseconds lease_drift{40};    // clocks over one election time-out, and the send
constexpr core::milliseconds order_connect{300}; // several round trips
constexpr core::milliseconds order_answer{1000}; // an engine answers at once
constexpr core::milliseconds usable_every{500};
constexpr core::milliseconds summary_every{1000};
constexpr std::chrono::microseconds copies_pause_a_gateway{300}; // 27 ms at 91 gateways
constexpr std::chrono::microseconds plan_pause_a_gateway{100};
constexpr core::milliseconds loads_pause_a_gateway{4};
constexpr core::milliseconds loads_every{60}; // a quarter of the time that one prompt takes

template <class Items>
void append_all(std::vector<std::unique_ptr<wire::fleet_upstream_t>>& to, Items items)
{
    for (auto& item : items) {
        wire::append(to, std::move(item));
    }
}

} // namespace

std::vector<std::string> coordinator_process::peers() const
{
    std::set<std::string> addresses{m_settings.seeds.begin(), m_settings.seeds.end()};
    for (const auto& info : m_core->raft().members()) {
        addresses.insert(info.address);
    }
    addresses.erase(m_settings.inner_address);
    return {addresses.begin(), addresses.end()};
}

void coordinator_process::announce(const platform::incoming_call& call,
                                   const http::server_request& request,
                                   const std::shared_ptr<http::responder>& responder)
{
    auto word = platform::decode_announcement(call.upstream_id, request.body);
    if (!word) {
        responder->respond(400, {{"Content-Type", "application/json"}},
                           platform::encode_error("not an announcement"));
        return;
    }
    const auto id = word->id;
    const auto change = m_roster.note(std::move(*word), m_clock.now());
    if (change != fleet::roster_change::none) {
        m_own_words.insert(id);
    }
    note_upstream(id);
    if (change == fleet::roster_change::changed) {
        m_news = true;
        flush();
    }
    responder->respond(200, {{"Content-Type", "application/json"}}, "{}");
}

void coordinator_process::note_upstream(const std::string& id)
{
    if (const auto* item = m_roster.find(id)) {
        m_placer.note_upstream(item->info, m_roster.usable(*item, m_clock.now()));
    }
}

void coordinator_process::withdraw(const platform::incoming_call& call,
                                   const std::shared_ptr<http::responder>& responder)
{
    if (m_roster.withdraw(call.upstream_id, m_clock.now())) {
        m_own_words.insert(call.upstream_id);
        m_news = true;
        flush();
    }
    responder->respond(200, {{"Content-Type", "application/json"}}, "{}");
}

void coordinator_process::take_peer_update(const wire::fleet_update_t& update)
{
    const auto now = m_clock.now();
    for (const auto& word : update.upstreams) {
        const auto age = core::milliseconds{word->age_ms};
        m_roster.note(*word, now, age);
        note_upstream(word->id);
    }
    for (const auto& id : update.heard) {
        m_roster.heard(id, now);
    }
}

void coordinator_process::take_document()
{
    const auto& document = m_core->state().current_document();
    if (document.version != m_document_version) {
        m_document_version = document.version;
        m_news = true;
        core::last_reason why;
        if (const auto decoded = platform::decode_deployment(document.content, why)) {
            m_placer.set_deployment(*decoded);
        }
        else {
            observe::error("document_unreadable", {{"reason", why.text()}});
        }
        observe::info("document_in_force", {{"version", document.version}});
    }
    for (const auto& [name, version] : m_core->state().named_versions()) {
        if (m_told_versions[name] != version) {
            m_placer.set_version(name, version);
            m_news = true;
        }
    }
}

void coordinator_process::attach(net::connection_id from, const wire::gateway_attach_t& word)
{
    if (!word.info) {
        return;
    }
    // A gateway that came back may still have its former connection here.
    std::erase_if(m_gateways, [&](const auto& item) {
        return item.first != from && item.second.word.info->vm == word.info->vm;
    });
    const bool known = m_gateways.contains(from);
    m_gateways[from].word = word;
    m_gateways_changed = true;
    m_news = true;
    if (known) {
        return;
    }
    observe::info("gateway_attached", {{"gateway", word.info->vm}});
    m_mesh->reply(from, wire::make_envelope(full_update()));
    if (m_placing_term != 0) {
        m_mesh->reply(from, wire::make_envelope(all_engines()));
    }
}

wire::engine_update_t coordinator_process::all_engines() const
{
    wire::engine_update_t engines;
    engines.full = true;
    engines.term = m_placing_term;
    for (auto& view : m_placer.all()) {
        wire::append(engines.engines, std::move(view));
    }
    return engines;
}

void coordinator_process::tell_document(net::connection_id to)
{
    const auto& document = m_core->state().current_document();
    wire::document_page_t page;
    page.version = document.version;
    page.content = document.content;
    m_mesh->reply(to, wire::make_envelope(std::move(page)));
}

void coordinator_process::fill_common(wire::fleet_update_t& update) const
{
    update.vm = m_settings.vm;
    update.address = m_settings.inner_address;
    update.leader_term = m_placing_term;
    update.document_version = m_document_version;
    for (const auto& info : m_core->raft().members()) {
        update.control.push_back(info.address);
    }
}

wire::fleet_update_t coordinator_process::full_update() const
{
    wire::fleet_update_t update;
    fill_common(update);
    update.full = true;
    update.gateways_included = true;
    for (const auto& [connection, gateway] : m_gateways) {
        wire::append(update.gateways, *gateway.word.info);
    }
    append_all(update.upstreams, m_roster.all(m_clock.now()));
    for (const auto& [name, version] : m_core->state().named_versions()) {
        wire::adapter_copy_t item;
        item.model = name.first;
        item.adapter = name.second;
        item.version = version;
        wire::append(update.named, std::move(item));
    }
    return update;
}

// Tells gateways and peers what changed: at once what matters, the rest in company.
void coordinator_process::flush()
{
    const auto now = m_clock.now();
    if (!m_news && now < m_flush_due) {
        return;
    }
    m_news = false;
    m_flush_due = now + flush_every;
    wire::fleet_update_t update;
    fill_common(update);
    auto changed = m_roster.take_changed(now);
    const auto heard = m_roster.take_heard();
    const auto own = std::exchange(m_own_words, {});
    // Peers tell their own gateways' words themselves; a word is passed on once.
    std::erase_if(changed, [&](const auto& word) { return !own.contains(word.id); });
    for (const auto& id : heard) {
        if (own.contains(id)) {
            update.heard.push_back(id);
        }
    }
    append_all(update.upstreams, std::move(changed));
    for (const auto& peer : peers()) {
        if (!update.upstreams.empty() || !update.heard.empty()) {
            m_mesh->send(peer, wire::make_envelope(update));
        }
    }
    update.gateways_included = std::exchange(m_gateways_changed, false);
    if (update.gateways_included) {
        for (const auto& [connection, gateway] : m_gateways) {
            wire::append(update.gateways, *gateway.word.info);
        }
    }
    for (const auto& [name, version] : m_core->state().named_versions()) {
        if (std::exchange(m_told_versions[name], version) != version) {
            wire::adapter_copy_t item;
            item.model = name.first;
            item.adapter = name.second;
            item.version = version;
            wire::append(update.named, std::move(item));
        }
    }
    m_mesh->reply_all(gateway_connections(), wire::make_envelope(std::move(update)));
}

std::vector<net::connection_id> coordinator_process::gateway_connections() const
{
    std::vector<net::connection_id> connections;
    for (const auto& [connection, gateway] : m_gateways) {
        connections.push_back(connection);
    }
    return connections;
}

// Tells gateways what engines hold and how busy they are, the less often the more there are.
void coordinator_process::tell_engines()
{
    const auto now = m_clock.now();
    wire::engine_update_t update;
    update.term = m_placing_term;
    if (now >= m_copies_due) {
        m_copies_due = now + copies_pause_a_gateway * m_gateways.size();
        for (auto& view : m_placer.take_changed()) {
            wire::append(update.engines, std::move(view));
        }
    }
    if (now >= m_loads_due) {
        m_loads_due =
            now + std::max<core::duration>(loads_every, loads_pause_a_gateway * m_gateways.size());
        for (auto& view : m_placer.take_loads()) {
            wire::append(update.engines, std::move(view));
        }
    }
    if (m_placing_term != 0 && (!update.engines.empty() || m_pacer.anyone_behind())) {
        tell_engines(update);
    }
}

void coordinator_process::tell_engines(const wire::engine_update_t& changes)
{
    std::vector<net::connection_id> keeping_up;
    for (const auto& [connection, gateway] : m_gateways) {
        switch (m_pacer.next(connection, m_mesh->queued_bytes(connection))) {
        case fleet::update_step::changes:
            keeping_up.push_back(connection);
            break;
        case fleet::update_step::all:
            m_mesh->reply(connection, wire::make_envelope(all_engines()));
            break;
        case fleet::update_step::nothing:
            m_metrics.count("siskindrift_updates_left_out_total");
            break;
        }
    }
    if (!changes.engines.empty()) {
        m_mesh->reply_all(keeping_up, wire::make_envelope(changes));
    }
}

void coordinator_process::show_state(observe::metrics& to) const
{
    to.set("siskindrift_document_version", static_cast<double>(m_document_version));
    to.set("siskindrift_gateways", static_cast<double>(m_gateways.size()));
    to.set("siskindrift_upstreams", static_cast<double>(m_roster.items().size()));
    to.set("siskindrift_placing_term", static_cast<double>(m_placing_term));
    to.set("siskindrift_open_engine_calls", static_cast<double>(m_calls.open()));
}

void coordinator_process::place_adapters()
{
    if (m_placing_term == 0) {
        return;
    }
    const auto now = m_clock.now();
    if (now >= m_usable_due) {
        m_usable_due = now + usable_every;
        for (const auto& [id, item] : m_roster.items()) {
            note_upstream(id);
        }
    }
    ask_reports();
    // Orders are given only while nobody else can have become leader.
    if (now >= m_plan_due && now < m_core->raft().lease_end(lease_drift)) {
        m_plan_due = now + (m_place_wanted ? plan_pause_a_gateway * m_gateways.size()
                                           : core::duration::zero());
        m_place_wanted = false;
        for (const auto& order : m_placer.plan(now)) {
            give(order);
        }
    }
    tell_engines();
    log_placement();
}

// Says once a second how far places and store are taken while requests wait for adapters.
void coordinator_process::log_placement()
{
    const auto now = m_clock.now();
    if (now < m_summary_due) {
        return;
    }
    m_summary_due = now + summary_every;
    const auto sum = m_placer.summary(now);
    if (sum.wanted == 0) {
        return;
    }
    observe::info("adapters_wanted", {{"wanted", sum.wanted},
                                      {"store_loads", sum.store_loads},
                                      {"engines", sum.engines},
                                      {"places", sum.places},
                                      {"in_use", sum.in_use},
                                      {"loading", sum.loading},
                                      {"just_used", sum.just_used}});
}

void coordinator_process::ask_reports()
{
    const auto now = m_clock.now();
    for (const auto& id : m_placer.wanted_reports(now)) {
        const auto* item = m_roster.find(id);
        if (item == nullptr) {
            continue;
        }
        auto call = platform::make_report_call(item->info.address, id);
        call.connect_limit = order_connect;
        call.head_limit = order_answer;
        call.progress_limit = order_answer;
        m_calls.start(std::move(call), [this, id, now](std::optional<http::whole_answer> answer) {
            const bool good = answer && answer->head.status == 200;
            m_placer.note_report(id, good ? platform::decode_report(answer->body) : std::nullopt,
                                 now);
            wake();
        });
    }
}

void coordinator_process::give(const adapters::order& order)
{
    auto call = platform::make_order_call(order, m_settings.vm, m_placing_term);
    call.connect_limit = order_connect;
    call.head_limit = order_answer;
    call.progress_limit = order_answer;
    m_calls.start(std::move(call), [this, order](std::optional<http::whole_answer> answer) {
        const auto result = answer ? platform::decode_order_result(answer->head.status)
                                   : adapters::order_result::unknown;
        m_metrics.count("siskindrift_orders_" + std::string{adapters::to_string(result)} +
                        "_total");
        const bool usual =
            result == adapters::order_result::accepted || result == adapters::order_result::holds;
        const auto log = usual ? observe::routine : observe::info;
        log("order", {{"upstream", order.upstream},
                      {"adapter", order.adapter},
                      {"version", order.version},
                      {"unload", order.unload},
                      {"expected", order.orders_accepted},
                      {"status", answer ? answer->head.status : 0}});
        m_placer.finished(order.number, result, m_clock.now());
        m_place_wanted = true;
        wake();
    });
}

} // namespace siskindrift::apps
