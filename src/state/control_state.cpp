#include "siskindrift/state/control_state.h"

#include <algorithm>
#include <string_view>
#include <xxhash.h>

#include "siskindrift/wire/frame.h"

namespace siskindrift::state {
namespace {

wire::control_reply_t refused(std::string detail)
{
    wire::control_reply_t reply;
    reply.outcome = wire::control_outcome::refused;
    reply.detail = std::move(detail);
    return reply;
}

std::uint64_t chain(std::uint64_t digest, std::string_view bytes)
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
    purge_claims();
    const auto command = wire::decode_table<wire::control_request_t>(bytes);
    auto reply = command ? apply_command(*command, entry.index) : refused("undecodable command");
    m_digest = chain(m_digest, bytes);
    m_digest = chain(m_digest, wire::encode_table(reply));
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
    if (const auto* order = body.Asacquire_upstream()) {
        return apply(*order, index);
    }
    if (const auto* order = body.Asrelease_upstream()) {
        return apply(*order);
    }
    if (const auto* order = body.Astake_claim()) {
        return apply(*order);
    }
    if (const auto* order = body.Asfinish_claim()) {
        return apply(*order);
    }
    if (const auto* order = body.Asput_document()) {
        return apply(*order);
    }
    if (const auto* order = body.Asname_adapter_version()) {
        return apply(*order);
    }
    return refused("not a logged command");
}

wire::control_reply_t control_state::apply(const wire::put_document_t& order)
{
    // The highest version wins; a resend and an overtaken change are acknowledged alike.
    if (order.version > m_document.version) {
        m_document = {order.version, order.content};
    }
    return {};
}

wire::control_reply_t control_state::apply(const wire::name_adapter_version_t& order)
{
    auto& named = m_named[{order.model, order.adapter}];
    named = std::max(named, order.version);
    return {};
}

wire::control_reply_t control_state::answer_of(const change_answer& answer)
{
    wire::control_reply_t reply;
    reply.outcome = answer.outcome;
    wire::change_result_t result;
    result.revision = answer.revision;
    result.winner_change_id = answer.winner_change_id;
    result.winner_operator = answer.winner_operator;
    reply.body.Set(std::move(result));
    return reply;
}

wire::control_reply_t control_state::apply(const wire::apply_change_t& change)
{
    if (const auto known = m_answers.find(change.change_id); known != m_answers.end()) {
        return answer_of(known->second);
    }
    change_answer answer;
    if (change.expected_revision != m_revision) {
        answer.outcome = wire::control_outcome::conflict;
        answer.revision = m_revision;
        const auto wanted = change.expected_revision + 1;
        const auto winner = std::find_if(m_history.begin(), m_history.end(),
                                         [&](const auto& item) { return item.revision == wanted; });
        if (winner != m_history.end()) {
            answer.winner_change_id = winner->change_id;
            answer.winner_operator = winner->operator_name;
        }
    }
    else {
        accept_change(change);
        answer.revision = m_revision;
        answer.winner_change_id = change.change_id;
        answer.winner_operator = change.operator_name;
    }
    remember_answer(change.change_id, answer);
    return answer_of(answer);
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
    while (m_history.size() > m_limits.history_items) {
        m_history.pop_front();
    }
}

void control_state::remember_answer(const std::string& change_id, change_answer answer)
{
    m_answers.emplace(change_id, std::move(answer));
    m_answer_order.push_back(change_id);
    while (m_answer_order.size() > m_limits.change_answers) {
        m_answers.erase(m_answer_order.front());
        m_answer_order.pop_front();
    }
}

wire::control_reply_t control_state::apply(const wire::register_vm_t& vm)
{
    const auto known = m_vms.find(vm.vm);
    if (known != m_vms.end() && known->second.incarnation != vm.incarnation) {
        return refused("the session of an earlier incarnation has not ended");
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
        return refused("no such session");
    }
    m_vms.erase(known);
    for (auto& [upstream, owned] : m_ownerships) {
        if (owned.vm == vm.vm && owned.incarnation == vm.incarnation) {
            owned.vm.clear();
            owned.idle = false;
        }
    }
    ++m_ownership_version;
    return {};
}

wire::control_reply_t control_state::apply(const wire::acquire_upstream_t& order,
                                           std::uint64_t index)
{
    const auto vm = m_vms.find(order.vm);
    if (vm == m_vms.end() || vm->second.incarnation != order.incarnation) {
        return refused("no such session");
    }
    auto& owned = m_ownerships[order.upstream];
    const bool ours = owned.vm == order.vm && owned.incarnation == order.incarnation;
    wire::control_reply_t reply;
    if (!owned.vm.empty() && !ours) {
        reply.outcome = wire::control_outcome::conflict;
    }
    else if (!ours) {
        owned.upstream = order.upstream;
        owned.vm = order.vm;
        owned.incarnation = order.incarnation;
        owned.fencing = index;
        ++m_ownership_version;
    }
    wire::ownership_grant_t grant;
    grant.fencing = owned.fencing;
    grant.owner = owned.vm;
    grant.idle = owned.idle;
    reply.body.Set(std::move(grant));
    return reply;
}

wire::control_reply_t control_state::apply(const wire::release_upstream_t& order)
{
    const auto found = m_ownerships.find(order.upstream);
    const bool ours = found != m_ownerships.end() && found->second.vm == order.vm &&
                      found->second.incarnation == order.incarnation &&
                      found->second.fencing == order.fencing;
    if (!ours) {
        return refused("not the owner");
    }
    found->second.vm.clear();
    found->second.idle = order.idle;
    ++m_ownership_version;
    return {};
}

const claim* control_state::find_claim(const claim_key& key) const
{
    const auto found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

void control_state::purge_claims()
{
    const auto keep = m_limits.claim_retention_ms + m_limits.key_skew_ms;
    while (!m_claims_by_time.empty() && m_claims_by_time.begin()->first + keep < m_time_ms) {
        m_claims.erase(m_claims_by_time.begin()->second);
        m_claims_by_time.erase(m_claims_by_time.begin());
    }
}

wire::control_reply_t control_state::claim_reply(const claim& held, wire::claim_state state) const
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

wire::control_reply_t control_state::apply(const wire::take_claim_t& order)
{
    // A key this old may have had a claim that is forgotten by now, so it is never granted.
    if (order.key_time_ms + m_limits.claim_retention_ms < m_time_ms) {
        return claim_reply({}, wire::claim_state::key_expired);
    }
    const claim_key key{order.team, order.key};
    const auto [found, inserted] = m_claims.try_emplace(key);
    auto& held = found->second;
    if (inserted) {
        held.key_time_ms = order.key_time_ms;
        held.body_hash = order.body_hash;
        held.request_id = order.request_id;
        m_claims_by_time.emplace(order.key_time_ms, key);
        return claim_reply(held, wire::claim_state::granted);
    }
    if (held.body_hash != order.body_hash) {
        return claim_reply({}, wire::claim_state::body_mismatch);
    }
    if (held.finished) {
        return claim_reply(held, wire::claim_state::finished);
    }
    const bool same_request = held.request_id == order.request_id;
    return claim_reply(held,
                       same_request ? wire::claim_state::granted : wire::claim_state::running);
}

wire::control_reply_t control_state::apply(const wire::finish_claim_t& order)
{
    const claim_key key{order.team, order.key};
    const auto found = m_claims.find(key);
    if (found == m_claims.end() || found->second.request_id != order.request_id) {
        return refused("no such claim");
    }
    auto& held = found->second;
    if (held.finished) {
        return {};
    }
    if (order.release) {
        m_claims_by_time.erase({held.key_time_ms, key});
        m_claims.erase(found);
        return {};
    }
    held.finished = true;
    held.ran = order.ran;
    held.status = order.status;
    held.content_type = order.content_type;
    held.response = order.response.size() <= m_limits.claim_response_bytes ? order.response : "";
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
