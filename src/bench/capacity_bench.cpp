// Measures the marginal cost of an adapter, upstream, VM, request or token for docs/CAPACITY.md.
#include <memory>
#include <sstream>

#include "measure.h"
#include "siskindrift/config/catalog.h"
#include "siskindrift/membership/upstream_registry.h"
#include "siskindrift/requests/request.h"
#include "siskindrift/requests/tombstones.h"
#include "siskindrift/routing/placement.h"
#include "siskindrift/state/control_state.h"
#include "siskindrift/state/session_table.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::bench {
namespace {

constexpr core::time_point start_time{std::chrono::seconds{1000}};

std::string adapter_key(std::size_t number)
{
    return "adapter/adapter-" + std::to_string(number);
}

wire::config_operation_t adapter_operation(std::size_t number)
{
    wire::config_operation_t operation;
    operation.key = adapter_key(number);
    operation.value = R"({"team":"team-17","base_model":"review-base","versions":["1","2"]})";
    return operation;
}

wire::log_entry_t make_entry(std::uint64_t index, wire::control_request_t request)
{
    const auto bytes = wire::encode_table(request);
    wire::log_entry_t entry;
    entry.index = index;
    entry.term = 1;
    entry.kind = wire::entry_kind::command;
    entry.stamp_ms = 1000 + index;
    entry.data.assign(bytes.begin(), bytes.end());
    return entry;
}

void measure_adapters()
{
    for (const std::size_t count : {3'000, 12'000, 36'000}) {
        wire::config_page_t page;
        page.revision = 1;
        page.full = true;
        for (std::size_t i = 0; i < count; ++i) {
            wire::append(page.operations, adapter_operation(i));
        }
        const double before = allocated_bytes();
        auto catalog = std::make_unique<config::catalog>();
        catalog->apply(page);
        print_measurement("entry_bytes_per_adapter", count, (allocated_bytes() - before) / count,
                          "bytes");
        print_measurement("page_bytes_per_adapter", count,
                          wire::encode_table(page).size() / static_cast<double>(count), "bytes");

        const double empty = allocated_bytes();
        auto state = std::make_unique<state::control_state>();
        wire::apply_change_t change;
        change.change_id = "all";
        for (std::size_t i = 0; i < count; ++i) {
            wire::append(change.operations, adapter_operation(i));
        }
        state->apply(make_entry(1, wire::make_control_request(std::move(change))));
        print_measurement("control_bytes_per_adapter", count, (allocated_bytes() - empty) / count,
                          "bytes");
        print_measurement("snapshot_bytes_per_adapter", count,
                          state->save().size() / static_cast<double>(count), "bytes");
    }
}

wire::announcement_t make_announcement(std::size_t number, std::size_t residents)
{
    wire::announcement_t announcement;
    announcement.upstream = "engine-" + std::to_string(number);
    announcement.incarnation = 1;
    announcement.address = "10.1.2.3:8000";
    announcement.failure_domain = "south-central-a";
    announcement.base_model = "review-base";
    announcement.slots = 8;
    announcement.batch = 16;
    for (std::size_t i = 0; i < residents; ++i) {
        wire::resident_info_t info;
        info.adapter = "adapter-" + std::to_string(number * 31 + i) + "@1";
        info.running = 1;
        wire::append(announcement.residents, info);
    }
    return announcement;
}

void measure_announcements()
{
    for (const std::size_t count : {12, 120, 1'200}) {
        const double before = allocated_bytes();
        auto registry = std::make_unique<membership::upstream_registry>();
        for (std::size_t i = 0; i < count; ++i) {
            registry->update(make_announcement(i, 8), start_time);
        }
        print_measurement("entry_bytes_per_upstream", count, (allocated_bytes() - before) / count,
                          "bytes");
        std::uint64_t sequence = 1;
        const double us = cpu_time_us(20'000, [&](std::uint64_t i) {
            wire::announcement_batch_t batch;
            auto announcement = make_announcement(i % count, 8);
            announcement.sequence = ++sequence;
            wire::append(batch.announcements, announcement);
            const auto frame = wire::encode_frame(wire::make_envelope(std::move(batch)));
            const auto read =
                wire::decode_payload(std::string_view{frame}.substr(wire::frame_header_bytes));
            registry->update(*read->body.Asannouncement_batch()->announcements.front(), start_time);
        });
        print_measurement("cpu_per_announcement", count, us, "us");
    }
    wire::announcement_batch_t batch;
    wire::append(batch.announcements, make_announcement(1, 8));
    print_measurement("bytes_per_announcement", 8,
                      wire::encode_frame(wire::make_envelope(batch)).size(), "bytes");
}

void measure_routing_decisions()
{
    for (const std::size_t count : {12, 120, 1'200}) {
        std::vector<routing::engine_status> views(count);
        std::vector<const routing::engine_status*> list;
        for (std::size_t i = 0; i < count; ++i) {
            views[i].id = core::upstream_id{"engine-" + std::to_string(i)};
            views[i].slots = 32;
            views[i].batch = 16;
            views[i].running = static_cast<std::uint32_t>(i * 7 % 13);
            for (std::size_t a = 0; a < 30; ++a) {
                const auto name = "adapter-" + std::to_string((i * 30 + a) % 36'000) + "@1";
                views[i].adapters[core::adapter_version{name}].state =
                    routing::adapter_residency::resident;
            }
            list.push_back(&views[i]);
        }
        const routing::cost_placement policy{routing::placement_options{}};
        std::size_t chosen = 0;
        const double us = cpu_time_us(count >= 1'200 ? 2'000 : 20'000, [&](std::uint64_t i) {
            const core::adapter_version adapter{"adapter-" + std::to_string(i * 37 % 36'000) +
                                                "@1"};
            chosen += policy.choose(adapter, list)->value().size();
        });
        print_measurement("cpu_per_routing_decision", count, us, "us");
    }
}

void measure_messages()
{
    const double heartbeat = cpu_time_us(200'000, [](std::uint64_t) {
        const auto frame = wire::encode_frame(wire::make_envelope(wire::heartbeat_t{}));
        (void)wire::decode_payload(std::string_view{frame}.substr(wire::frame_header_bytes));
    });
    print_measurement("cpu_per_heartbeat", 1, heartbeat, "us");
    print_measurement("bytes_per_heartbeat", 1,
                      wire::encode_frame(wire::make_envelope(wire::heartbeat_t{})).size(), "bytes");
    for (const std::size_t size : {256, 1'024, 4'096}) {
        wire::dispatch_t request;
        request.request_id = "vm-1-1234567890123-42";
        request.adapter = "adapter-12345@1";
        request.body = std::string(size, 'x');
        const double us = cpu_time_us(50'000, [&](std::uint64_t) {
            const auto frame = wire::encode_frame(wire::make_envelope(request));
            (void)wire::decode_payload(std::string_view{frame}.substr(wire::frame_header_bytes));
        });
        print_measurement("cpu_per_forwarded_request", size, us, "us");
        print_measurement("bytes_per_forwarded_request", size,
                          wire::encode_frame(wire::make_envelope(request)).size(), "bytes");
    }
    const std::string event =
        R"({"id":"x","model":"adapter-12345@1","choices":[{"index":0,"text":" t123","finish_reason":null}]})";
    requests::caller_request request;
    request.id = core::request_id{"vm-1-1234567890123-42"};
    request.adapter = core::adapter_version{"adapter-12345@1"};
    const double token = cpu_time_us(100'000, [&](std::uint64_t i) {
        const auto read = requests::parse_model_event(event);
        wire::dispatch_reply_t piece;
        piece.request_id = request.id.value();
        piece.event = wire::dispatch_event::piece;
        piece.offset = static_cast<std::uint32_t>(i);
        piece.data = read->text;
        const auto frame = wire::encode_frame(wire::make_envelope(std::move(piece)));
        const auto decoded =
            wire::decode_payload(std::string_view{frame}.substr(wire::frame_header_bytes));
        (void)requests::stream_event(request, decoded->body.Asdispatch_reply()->data);
    });
    print_measurement("cpu_per_streamed_token", 1, token, "us");
    const double parse =
        cpu_time_us(100'000, [&](std::uint64_t) { (void)requests::parse_model_event(event); });
    print_measurement("cpu_per_token_parse", 1, parse, "us");
}

void measure_renewals()
{
    for (const std::size_t vms : {7, 70, 340}) {
        wire::session_grant_t grant;
        for (std::size_t i = 0; i < vms; ++i) {
            wire::vm_info_t vm;
            vm.vm = "vm-" + std::to_string(i);
            vm.inner_address = vm.caller_address = "10.1.2.3:7001";
            vm.failure_domain = "south-central-a";
            wire::append(grant.vms, vm);
        }
        print_measurement("bytes_per_membership_list", vms, wire::encode_table(grant).size(),
                          "bytes");
    }
    state::session_table sessions{state::session_options{}};
    for (int i = 0; i < 340; ++i) {
        sessions.start("vm-" + std::to_string(i), 1, start_time);
    }
    const double us = cpu_time_us(50'000, [&](std::uint64_t i) {
        wire::renew_session_t renewal;
        renewal.vm = "vm-" + std::to_string(i % 340);
        renewal.incarnation = 1;
        const auto frame =
            wire::encode_frame(wire::make_envelope(wire::make_control_request(renewal)));
        const auto read =
            wire::decode_payload(std::string_view{frame}.substr(wire::frame_header_bytes));
        sessions.renew(read->body.Ascontrol_request()->body.Asrenew_session()->vm, 1, start_time);
        wire::control_reply_t reply;
        reply.body.Set(wire::session_grant_t{});
        const auto answer = wire::encode_frame(wire::make_envelope(std::move(reply)));
        (void)wire::decode_payload(std::string_view{answer}.substr(wire::frame_header_bytes));
    });
    print_measurement("cpu_per_renewal_both_ends", 340, us, "us");
    wire::renew_session_t renewal;
    renewal.vm = "vm-123";
    renewal.incarnation = 1;
    wire::control_reply_t reply;
    reply.body.Set(wire::session_grant_t{});
    print_measurement(
        "bytes_per_renewal_both_ways", 1,
        wire::encode_frame(wire::make_envelope(wire::make_control_request(renewal))).size() +
            wire::encode_frame(wire::make_envelope(std::move(reply))).size(),
        "bytes");
}

void measure_claims()
{
    for (const std::size_t count : {10'000, 30'000, 100'000}) {
        const double before = allocated_bytes();
        auto state = std::make_unique<state::control_state>();
        std::uint64_t index = 0;
        double record_bytes = 0.0;
        const double us = cpu_time_us(count, [&](std::uint64_t i) {
            wire::take_claim_t take;
            take.team = "team-17";
            take.key = "01938f2e-7b00-7000-8000-" + std::to_string(100'000'000'000 + i);
            take.key_time_ms = 1'000'000'000;
            take.request_id = "vm-1-1234567890123-" + std::to_string(i);
            wire::finish_claim_t finish;
            finish.team = take.team;
            finish.key = take.key;
            finish.request_id = take.request_id;
            finish.ran = true;
            finish.status = 200;
            finish.response = R"({"done":true})";
            const auto first = make_entry(++index, wire::make_control_request(std::move(take)));
            const auto second = make_entry(++index, wire::make_control_request(std::move(finish)));
            record_bytes = wire::encode_table(first).size() + wire::encode_table(second).size();
            state->apply(first);
            state->apply(second);
        });
        print_measurement("cpu_per_claim", count, us, "us");
        print_measurement("control_bytes_per_claim", count, (allocated_bytes() - before) / count,
                          "bytes");
        print_measurement("log_bytes_per_claim", count, record_bytes, "bytes");
    }
}

void measure_changes()
{
    auto state = std::make_unique<state::control_state>();
    double bytes = 0.0;
    const double us = cpu_time_us(20'000, [&](std::uint64_t i) {
        wire::apply_change_t change;
        change.change_id = "01938f2e-7b00-7000-8000-" + std::to_string(100'000'000'000 + i);
        change.operator_name = "operator";
        change.expected_revision = i;
        wire::append(change.operations, adapter_operation(i % 36'000));
        const auto entry = make_entry(i + 1, wire::make_control_request(std::move(change)));
        bytes = wire::encode_table(entry).size();
        state->apply(entry);
    });
    print_measurement("cpu_per_change", 20'000, us, "us");
    print_measurement("log_bytes_per_change", 1, bytes, "bytes");
}

} // namespace

void run_capacity_bench()
{
    measure_adapters();
    measure_announcements();
    measure_routing_decisions();
    measure_messages();
    measure_renewals();
    measure_claims();
    measure_changes();
}

} // namespace siskindrift::bench
