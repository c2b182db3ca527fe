#include "siskindrift/state/control_state.h"

#include <algorithm>
#include <string_view>
#include <xxhash.h>

#include "siskindrift/wire/frame.h"

namespace siskindrift::state {
namespace {

wire::control_reply_t make_refusal(std::string detail)
{
    wire::control_reply_t reply;
    reply.outcome = wire::control_outcome::refused;
    reply.detail = std::move(detail);
    return reply;
}

std::uint64_t extend_digest(std::uint64_t digest, std::string_view bytes)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), digest);
}

} // namespace

wire::control_reply_t control_state::apply(const wire::log_entry_t& entry)
{
    if (entry.kind != wire::entry_kind::command) {
        return {};
    }
    const std::string_view bytes{reinterpret_cast<const char*>(entry.data.data()),
                                 entry.data.size()};
    m_time_ms = std::max(m_time_ms, entry.stamp_ms);
    purge_expired_claims();
    const auto command = wire::decode_table<wire::control_request_t>(bytes);
    auto reply =
        command ? apply_command(*command, entry.index) : make_refusal("undecodable command");
    m_digest = extend_digest(m_digest, bytes);
    m_digest = extend_digest(m_digest, wire::encode_table(reply));
    return reply;
}

wire::control_reply_t control_state::apply_command(const wire::control_request_t& command,
                                                   std::uint64_t index)
{
    const auto& body = command.body;
    if (const auto* change = body.Asapply_change()) {
        return apply(*change);
    }
    if (const auto* vm = body.Asregister_vm()) {
        return apply(*vm);
    }
    if (const auto* vm = body.Asexpire_vm()) {
        return apply(*vm);
    }
    if (const auto* request = body.Asacquire_upstream()) {
        return apply(*request, index);
    }
    if (const auto* request = body.Asrelease_upstream()) {
        return apply(*request);
    }
    if (const auto* request = body.Astake_claim()) {
        return apply(*request);
    }
    if (const auto* request = body.Asfinish_claim()) {
        return apply(*request);
    }
    if (const auto* request = body.Asput_document()) {
        return apply(*request);
    }
    if (const auto* request = body.Asname_adapter_version()) {
        return apply(*request);
    }
    if (const auto* request = body.Aschange_retry_shares()) {
        return apply(*request);
    }
    if (const auto* request = body.Aschange_blocked_parts()) {
        return apply(*request);
    }
    if (const auto* request = body.Aschange_upstream_limits()) {
        return apply(*request);
    }
    if (const auto* request = body.Aschange_software_versions()) {
        return apply(*request);
    }
    if (const auto* request = body.Asrecord_departure()) {
        return apply(*request);
    }
    return make_refusal("not a logged command");
}

wire::control_reply_t control_state::apply(const wire::put_document_t& request)
{
    // The highest version wins. A resent or outdated document is acknowledged without effect.
    if (request.version > m_document.version) {
        m_document = {request.version, request.content};
    }
    return {};
}

wire::control_reply_t control_state::apply(const wire::name_adapter_version_t& request)
{
    auto& named = m_adapter_versions[{request.model, request.adapter}];
    named = std::max(named, request.version);
    return {};
}

wire::control_reply_t control_state::apply(const wire::record_departure_t& request)
{
    auto& known = m_departures[request.upstream];
    if (request.born_ms > known.born_ms) {
        known = {request.born_ms, request.gone, m_time_ms};
    }
    else if (request.born_ms == known.born_ms) {
        known = {known.born_ms, known.gone || request.gone, m_time_ms};
    }
    purge_old_departures();
    return {};
}

const departure* control_state::find_departure(const std::string& upstream, std::uint64_t born_ms,
                                               std::uint64_t now_ms) const
{
    const auto found = m_departures.find(upstream);
    const bool counts = found != m_departures.end() && found->second.born_ms >= born_ms &&
                        found->second.stamp_ms + m_limits.departure_lifetime_ms >= now_ms;
    return counts ? &found->second : nullptr;
}

void control_state::purge_old_departures()
{
    std::erase_if(m_departures, [&](const auto& item) {
        return item.second.stamp_ms + m_limits.departure_lifetime_ms < m_time_ms;
    });
    while (m_departures.size() > m_limits.max_departures) {
        m_departures.erase(std::min_element(m_departures.begin(), m_departures.end(),
                                            [](const auto& left, const auto& right) {
                                                return left.second.stamp_ms < right.second.stamp_ms;
                                            }));
    }
}

wire::control_reply_t control_state::apply(const wire::change_retry_shares_t& request)
{
    auto& shares = m_retry_shares;
    ++shares.generation;
    for (const auto& vm : request.retire) {
        shares.holders.erase(vm);
    }
    for (const auto& vm : request.admit) {
        shares.holders.try_emplace(vm, retry_share_holder{shares.generation, false});
    }
    for (const auto& vm : request.activate) {
        if (const auto found = shares.holders.find(vm); found != shares.holders.end()) {
            found->second.usable = true;
        }
    }
    return {};
}

wire::control_reply_t control_state::apply(const wire::change_blocked_parts_t& request)
{
    ++m_blocked_parts.generation;
    for (const auto& item : request.block) {
        m_blocked_parts.parts[item->part] = {item->strikes, item->trial_vm};
    }
    for (const auto& part : request.release) {
        m_blocked_parts.parts.erase(part);
    }
    return {};
}

wire::control_reply_t control_state::apply(const wire::change_upstream_limits_t& request)
{
    ++m_upstream_limits.generation;
    for (const auto& upstream : request.remove) {
        m_upstream_limits.entries.erase(upstream);
    }
    for (const auto& item : request.set) {
        m_upstream_limits.entries[item->upstream] = {item->born_ms, {item->per_s}};
    }
    return {};
}

wire::control_reply_t control_state::apply(const wire::change_software_versions_t& request)
{
    for (const auto& item : request.remove) {
        m_software_versions.erase({item->service, item->version});
    }
    for (const auto& item : request.add) {
        m_software_versions.emplace(item->service, item->version);
    }
    return {};
}

wire::control_reply_t control_state::make_change_reply(const change_result& stored)
{
    wire::control_reply_t reply;
    reply.outcome = stored.outcome;
    wire::change_result_t result;
    result.revision = stored.revision;
    result.winner_change_id = stored.winner_change_id;
    result.winner_operator = stored.winner_operator;
    reply.body.Set(std::move(result));
    return reply;
}

wire::control_reply_t control_state::apply(const wire::apply_change_t& change)
{
    if (const auto known = m_change_results.find(change.change_id);
        known != m_change_results.end()) {
        return make_change_reply(known->second);
    }
    change_result result;
    if (change.expected_revision != m_revision) {
        result.outcome = wire::control_outcome::conflict;
        result.revision = m_revision;
        const auto wanted = change.expected_revision + 1;
        const auto winner = std::find_if(m_history.begin(), m_history.end(),
                                         [&](const auto& item) { return item.revision == wanted; });
        if (winner != m_history.end()) {
            result.winner_change_id = winner->change_id;
            result.winner_operator = winner->operator_name;
        }
    }
    else {
        accept_change(change);
        result.revision = m_revision;
        result.winner_change_id = change.change_id;
        result.winner_operator = change.operator_name;
    }
    store_change_result(change.change_id, result);
    return make_change_reply(result);
}

void control_state::accept_change(const wire::apply_change_t& change)
{
    ++m_revision;
    wire::history_item_t item;
    item.revision = m_revision;
    item.change_id = change.change_id;
    item.operator_name = change.operator_name;
    item.stamp_ms = m_time_ms;
    for (const auto& operation : change.operations) {
        if (operation->remove) {
            m_config.erase(operation->key);
        }
        else {
            m_config[operation->key] = operation->value;
        }
        item.keys.push_back(operation->key);
    }
    m_history.push_back(std::move(item));
    while (m_history.size() > m_limits.max_history_items) {
        m_history.pop_front();
    }
}

void control_state::store_change_result(const std::string& change_id, change_result result)
{
    m_change_results.emplace(change_id, std::move(result));
    m_change_result_order.push_back(change_id);
    while (m_change_result_order.size() > m_limits.max_change_results) {
        m_change_results.erase(m_change_result_order.front());
        m_change_result_order.pop_front();
    }
}

wire::control_reply_t control_state::apply(const wire::register_vm_t& vm)
{
    const auto known = m_vms.find(vm.vm);
    if (known != m_vms.end() && known->second.incarnation != vm.incarnation) {
        return make_refusal("the session of an earlier incarnation has not ended");
    }
    wire::vm_info_t info;
    info.vm = vm.vm;
    info.incarnation = vm.incarnation;
    info.inner_address = vm.inner_address;
    info.caller_address = vm.caller_address;
    info.failure_domain = vm.failure_domain;
    info.draining = vm.draining;
    m_vms[vm.vm] = std::move(info);
    ++m_ownership_version;
    return {};
}

wire::control_reply_t control_state::apply(const wire::expire_vm_t& vm)
{
    const auto known = m_vms.find(vm.vm);
    if (known == m_vms.end() || known->second.incarnation != vm.incarnation) {
        return make_refusal("no such session");
    }
    m_vms.erase(known);
    for (auto& [upstream, ownership] : m_ownerships) {
        if (ownership.vm == vm.vm && ownership.incarnation == vm.incarnation) {
            ownership.vm.clear();
            ownership.idle = false;
        }
    }
    ++m_ownership_version;
    return {};
}

wire::control_reply_t control_state::apply(const wire::acquire_upstream_t& request,
                                           std::uint64_t index)
{
    const auto vm = m_vms.find(request.vm);
    if (vm == m_vms.end() || vm->second.incarnation != request.incarnation) {
        return make_refusal("no such session");
    }
    auto& ownership = m_ownerships[request.upstream];
    const bool is_owner =
        ownership.vm == request.vm && ownership.incarnation == request.incarnation;
    wire::control_reply_t reply;
    if (!ownership.vm.empty() && !is_owner) {
        reply.outcome = wire::control_outcome::conflict;
    }
    else if (!is_owner) {
        ownership.upstream = request.upstream;
        ownership.vm = request.vm;
        ownership.incarnation = request.incarnation;
        ownership.fencing = index;
        ++m_ownership_version;
    }
    wire::ownership_grant_t grant;
    grant.fencing = ownership.fencing;
    grant.owner = ownership.vm;
    grant.idle = ownership.idle;
    reply.body.Set(std::move(grant));
    return reply;
}

wire::control_reply_t control_state::apply(const wire::release_upstream_t& request)
{
    const auto found = m_ownerships.find(request.upstream);
    const bool is_owner = found != m_ownerships.end() && found->second.vm == request.vm &&
                          found->second.incarnation == request.incarnation &&
                          found->second.fencing == request.fencing;
    if (!is_owner) {
        return make_refusal("not the owner");
    }
    found->second.vm.clear();
    found->second.idle = request.idle;
    ++m_ownership_version;
    return {};
}

const claim* control_state::find_claim(const claim_key& key) const
{
    const auto found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

void control_state::purge_expired_claims()
{
    const auto keep = m_limits.claim_retention_ms + m_limits.key_skew_ms;
    while (!m_claims_by_time.empty() && m_claims_by_time.begin()->first + keep < m_time_ms) {
        m_claims.erase(m_claims_by_time.begin()->second);
        m_claims_by_time.erase(m_claims_by_time.begin());
    }
}

wire::control_reply_t control_state::make_claim_reply(const claim& held,
                                                      wire::claim_state state) const
{
    wire::claim_result_t result;
    result.state = state;
    result.request_id = held.request_id;
    result.ran = held.ran;
    result.status = held.status;
    result.content_type = held.content_type;
    result.response = held.response;
    wire::control_reply_t reply;
    reply.body.Set(std::move(result));
    return reply;
}

wire::control_reply_t control_state::apply(const wire::take_claim_t& request)
{
    // An expired key isn't granted, because an earlier claim on it may already be purged.
    if (request.key_time_ms + m_limits.claim_retention_ms < m_time_ms) {
        return make_claim_reply({}, wire::claim_state::key_expired);
    }
    const claim_key key{request.team, request.key};
    const auto [found, inserted] = m_claims.try_emplace(key);
    auto& held = found->second;
    if (inserted) {
        held.key_time_ms = request.key_time_ms;
        held.body_hash = request.body_hash;
        held.request_id = request.request_id;
        m_claims_by_time.emplace(request.key_time_ms, key);
        return make_claim_reply(held, wire::claim_state::granted);
    }
    if (held.body_hash != request.body_hash) {
        return make_claim_reply({}, wire::claim_state::body_mismatch);
    }
    if (held.finished) {
        return make_claim_reply(held, wire::claim_state::finished);
    }
    const bool same_request = held.request_id == request.request_id;
    return make_claim_reply(held,
                            same_request ? wire::claim_state::granted : wire::claim_state::running);
}

wire::control_reply_t control_state::apply(const wire::finish_claim_t& request)
{
    const claim_key key{request.team, request.key};
    const auto found = m_claims.find(key);
    if (found == m_claims.end() || found->second.request_id != request.request_id) {
        return make_refusal("no such claim");
    }
    auto& held = found->second;
    if (held.finished) {
        return {};
    }
    if (request.release) {
        m_claims_by_time.erase({held.key_time_ms, key});
        m_claims.erase(found);
        return {};
    }
    held.finished = true;
    // Without its response, a finished call can't be answered as one that ran.
    held.ran = request.ran && request.response.size() <= m_limits.max_claim_response_bytes;
    held.status = request.status;
    held.content_type = request.content_type;
    held.response = held.ran ? request.response : "";
    return {};
}

wire::config_page_t control_state::config_since(std::uint64_t since) const
{
    wire::config_page_t page;
    page.revision = m_revision;
    const bool known =
        since <= m_revision && since != 0 &&
        (since == m_revision || (!m_history.empty() && m_history.front().revision <= since + 1));
    page.full = !known;
    std::set<std::string> keys;
    if (known) {
        for (const auto& item : m_history) {
            if (item.revision > since) {
                keys.insert(item.keys.begin(), item.keys.end());
            }
        }
    }
    else {
        for (const auto& [key, value] : m_config) {
            keys.insert(key);
        }
    }
    for (const auto& key : keys) {
        wire::config_operation_t operation;
        operation.key = key;
        const auto value = m_config.find(key);
        operation.remove = value == m_config.end();
        if (!operation.remove) {
            operation.value = value->second;
        }
        wire::append(page.operations, operation);
    }
    return page;
}

} // namespace siskindrift::state
