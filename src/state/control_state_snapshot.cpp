#include "siskindrift/state/control_state.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::state {
namespace {

wire::stored_claim_t to_stored_claim(const claim_key& key, const claim& held)
{
    wire::stored_claim_t item;
    item.team = key.first;
    item.key = key.second;
    item.key_time_ms = held.key_time_ms;
    item.body_hash = held.body_hash;
    item.request_id = held.request_id;
    item.finished = held.finished;
    item.ran = held.ran;
    item.status = held.status;
    item.content_type = held.content_type;
    item.response = held.response;
    return item;
}

claim from_stored_claim(const wire::stored_claim_t& item)
{
    claim held;
    held.key_time_ms = item.key_time_ms;
    held.body_hash = item.body_hash;
    held.request_id = item.request_id;
    held.finished = item.finished;
    held.ran = item.ran;
    held.status = item.status;
    held.content_type = item.content_type;
    held.response = item.response;
    return held;
}

} // namespace

std::string control_state::save() const
{
    wire::state_snapshot_t image;
    image.revision = m_revision;
    image.time_ms = m_time_ms;
    image.ownership_version = m_ownership_version;
    image.digest = m_digest;
    for (const auto& [key, value] : m_config) {
        wire::config_operation_t item;
        item.key = key;
        item.value = value;
        wire::append(image.config, item);
    }
    for (const auto& change_id : m_change_result_order) {
        const auto& answer = m_change_results.at(change_id);
        wire::stored_change_t item;
        item.change_id = change_id;
        item.outcome = answer.outcome;
        item.revision = answer.revision;
        item.winner_change_id = answer.winner_change_id;
        item.winner_operator = answer.winner_operator;
        wire::append(image.changes, item);
    }
    for (const auto& item : m_history) {
        wire::append(image.history, item);
    }
    for (const auto& [name, vm] : m_vms) {
        wire::append(image.vms, vm);
    }
    for (const auto& [name, ownership] : m_ownerships) {
        wire::append(image.ownerships, ownership);
    }
    for (const auto& [key, held] : m_claims) {
        wire::append(image.claims, to_stored_claim(key, held));
    }
    image.document = std::make_unique<wire::document_page_t>();
    image.document->version = m_document.version;
    image.document->content = m_document.content;
    for (const auto& [name, version] : m_adapter_versions) {
        wire::adapter_copy_t item;
        item.model = name.first;
        item.adapter = name.second;
        item.version = version;
        wire::append(image.named, item);
    }
    image.retry_generation = m_retry_shares.generation;
    for (const auto& [vm, holder] : m_retry_shares.holders) {
        wire::stored_retry_share_t item;
        item.vm = vm;
        item.admitted = holder.admitted;
        item.usable = holder.usable;
        wire::append(image.retry_shares, item);
    }
    image.blocked_generation = m_blocked_parts.generation;
    for (const auto& [part, blocked] : m_blocked_parts.parts) {
        wire::blocked_part_t item;
        item.part = part;
        item.strikes = blocked.strikes;
        item.trial_vm = blocked.trial_vm;
        wire::append(image.blocked, item);
    }
    image.limits_generation = m_upstream_limits.generation;
    for (const auto& [upstream, limit] : m_upstream_limits.entries) {
        wire::upstream_limit_t item;
        item.upstream = upstream;
        item.born_ms = limit.born_ms;
        item.per_s = limit.rate.per_s;
        wire::append(image.limits, item);
    }
    for (const auto& [service, version] : m_software_versions) {
        wire::service_version_t item;
        item.service = service;
        item.version = version;
        wire::append(image.software_versions, std::move(item));
    }
    for (const auto& [upstream, left] : m_departures) {
        wire::stored_departure_t item;
        item.upstream = upstream;
        item.born_ms = left.born_ms;
        item.gone = left.gone;
        item.stamp_ms = left.stamp_ms;
        wire::append(image.departures, std::move(item));
    }
    return wire::encode_table(image);
}

bool control_state::restore(const std::string& bytes)
{
    const auto image = wire::decode_table<wire::state_snapshot_t>(bytes);
    if (!image) {
        return false;
    }
    control_state fresh{m_limits};
    fresh.m_revision = image->revision;
    fresh.m_time_ms = image->time_ms;
    fresh.m_ownership_version = image->ownership_version;
    fresh.m_digest = image->digest;
    for (const auto& item : image->config) {
        fresh.m_config[item->key] = item->value;
    }
    for (const auto& item : image->changes) {
        fresh.store_change_result(item->change_id, {item->outcome, item->revision,
                                                    item->winner_change_id, item->winner_operator});
    }
    for (const auto& item : image->history) {
        fresh.m_history.push_back(*item);
    }
    for (const auto& item : image->vms) {
        fresh.m_vms[item->vm] = *item;
    }
    for (const auto& item : image->ownerships) {
        fresh.m_ownerships[item->upstream] = *item;
    }
    if (image->document) {
        fresh.m_document = {image->document->version, image->document->content};
    }
    for (const auto& item : image->named) {
        fresh.m_adapter_versions[{item->model, item->adapter}] = item->version;
    }
    for (const auto& item : image->departures) {
        fresh.m_departures[item->upstream] = {item->born_ms, item->gone, item->stamp_ms};
    }
    fresh.m_retry_shares.generation = image->retry_generation;
    for (const auto& item : image->retry_shares) {
        fresh.m_retry_shares.holders[item->vm] = {item->admitted, item->usable};
    }
    fresh.m_blocked_parts.generation = image->blocked_generation;
    for (const auto& item : image->blocked) {
        fresh.m_blocked_parts.parts[item->part] = {item->strikes, item->trial_vm};
    }
    fresh.m_upstream_limits.generation = image->limits_generation;
    for (const auto& item : image->limits) {
        fresh.m_upstream_limits.entries[item->upstream] = {item->born_ms, {item->per_s}};
    }
    for (const auto& item : image->software_versions) {
        fresh.m_software_versions.emplace(item->service, item->version);
    }
    for (const auto& item : image->claims) {
        const claim_key key{item->team, item->key};
        fresh.m_claims.emplace(key, from_stored_claim(*item));
        fresh.m_claims_by_time.emplace(item->key_time_ms, key);
    }
    *this = std::move(fresh);
    return true;
}

} // namespace siskindrift::state
