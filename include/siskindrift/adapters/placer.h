// Placement of adapters on engines: which engine loads or unloads which adapter, and when.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "siskindrift/adapters/adapter_history.h"
#include "siskindrift/adapters/answer_time.h"
#include "siskindrift/adapters/engine_report.h"
#include "siskindrift/adapters/load_limiter.h"
#include "siskindrift/adapters/unserved_adapters.h"
#include "siskindrift/adapters/use_rate.h"
#include "siskindrift/core/clock.h"
#include "siskindrift/gateway/deployment.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::adapters {

/// The name of a base model and of one of its adapters. The adapter is empty for the base model.
using adapter_name = std::pair<std::string, std::string>;

/// Returns the key of an adapter in histories and indices.
[[nodiscard]] adapter_key key_of(const adapter_name& name);

/// A command to one engine to load or unload an adapter or a base model.
struct order {
    std::uint64_t id = 0;              ///< Unique within one placer.
    std::string upstream;              ///< ID of the engine.
    std::string address;               ///< Address of the engine.
    std::string model;                 ///< Name of the base model.
    std::string adapter;               ///< Name of the adapter; empty for the base model.
    std::uint64_t version = 0;         ///< Version to load; 0 for the newest.
    std::uint64_t orders_accepted = 0; ///< The engine refuses the order if its count differs.
    bool unload = false;               ///< True to unload, false to load.
    bool repeated = false; ///< Repeats an accepted load to learn whether it is complete. The
                           ///< engine doesn't count it again.
    core::time_point sent_at{};
};

/// The outcome of an order.
enum class order_result : std::uint8_t {
    accepted, ///< The engine is carrying the order out.
    holds,    ///< The requested state is already reached.
    conflict, ///< Another order is in progress, or the engine has accepted others since.
    fenced,   ///< The engine has seen an order of a later leader.
    refused,  ///< The engine can't carry the order out, or has been replaced by another one.
    unknown,  ///< No answer. The order may still be carried out, even later.
};

/// Returns the name of @p result as it appears in metrics.
[[nodiscard]] std::string_view to_string(order_result result);

/// Parameters of the placement.
struct placer_options {
    /// Interval between polls of an engine. It may be long, because announcements carry the same
    /// state between two polls without a request.
    core::duration report_interval = core::milliseconds{2000};
    /// Maximum age of a report on arrival. Reports are some hundred milliseconds old.
    core::duration max_report_age = core::milliseconds{500};
    /// Time to load an adapter from the weight store: the initial estimate and its lower bound.
    core::duration min_store_load_time = core::milliseconds{255};
    /// Time to load an adapter that the engine has held recently.
    core::duration cached_load_time = core::milliseconds{30};
    /// First interval between two polls of a load in progress. Doubles with each poll.
    core::duration initial_poll_interval = core::milliseconds{30};
    /// Upper bound of the interval between two polls of a load in progress.
    core::duration max_poll_interval = core::milliseconds{480};
    /// Time since its engine last confirmed a load after which the load doesn't count any more:
    /// longer than between two polls. The engine may have ended.
    core::duration max_load_silence = core::milliseconds{800};
    /// Fraction of the time of a load from the store below which a load was one from the cache.
    double max_cached_load_ratio = 0.5;
    /// Time after which an engine is given orders again although it hasn't unloaded an adapter.
    core::duration max_unload_wait = core::milliseconds{3000};
    /// How long to wait for the answer to an order. After that, the order doesn't keep its engine
    /// from other orders any more, although it may still be carried out.
    answer_time_options order_answers{};
    /// Orders in a row that an engine may leave unanswered without a pause before the next one.
    unsigned max_unanswered_in_row = 2;
    /// Pause between two orders to an engine that has left more in a row unanswered. Doubles with
    /// each further one, up to `max_unanswered_pause`.
    core::duration unanswered_pause = core::milliseconds{200};
    core::duration max_unanswered_pause = core::milliseconds{1000};
    /// Delay until an engine that loads a base model is polled for a report.
    core::duration model_load_poll_delay = core::milliseconds{700};
    /// Time without use after which an adapter may be evicted. Later uses
    /// may not have been reported yet.
    core::duration min_idle_before_eviction = core::milliseconds{100};
    /// Expected number of uses that aren't reported yet up to which an adapter may be evicted after
    /// `min_idle_before_eviction` alone. An engine that unloads an adapter in use takes no orders
    /// until its requests have ended.
    double max_unreported_uses = 0.1;
    /// Added to the delays of usage reports for each gateway: the more gateways, the less often
    /// each of them reports.
    core::duration usage_delay_per_gateway = core::milliseconds{6};
    /// Delay of usage reports: a gateway batches its updates.
    core::duration usage_report_delay = core::milliseconds{60};
    /// Waiting time of an adapter without any copy after which adapter slots count as scarce. A
    /// free slot is assigned sooner than that.
    core::duration slot_wait_limit = core::milliseconds{100};
    /// Time after its load for which an additional copy counts as new, because it hasn't attracted
    /// its share of the requests yet. New copies limit the number of further ones.
    core::duration additional_copy_interval = core::milliseconds{1500};
    /// The same while enough adapter slots are idle, so that a copy takes no adapter's slot.
    core::duration additional_copy_interval_idle = core::milliseconds{700};
    /// Requests that the holders of an adapter rejected, from which on it gets a further copy even
    /// if other adapters have none: the slot then serves more requests than with another adapter.
    std::uint32_t rejections_for_copy = 3;
    /// Factor by which copies whose holders reject requests may grow at once.
    std::size_t rejected_copy_growth = 2;
    /// Fraction of all adapter slots that must be idle for `additional_copy_interval_idle`.
    double idle_slot_ratio = 0.33;
    /// Maximum wait for an engine that has held the adapter recently. Shorter than a load from
    /// the weight store.
    core::duration recent_engine_wait_limit = core::milliseconds{150};
    /// Fraction of the gateways that must be unable to reach an engine for its copies not to count.
    /// One is enough if the engine doesn't answer the leader either.
    double unreachable_ratio = 0.3;
    /// Time after which a wish, a gateway's request for a copy of an adapter, expires. Gateways
    /// repeat their wishes.
    core::duration wish_lifetime = core::milliseconds{3000};
    /// What a load is worth to a request that can't be in time any more, in relation to one that
    /// can.
    double late_request_weight = 0.3;
    /// Lower bound of the time after which an unserved adapter is overdue. The time itself is how
    /// long the store needs for all adapters that are requested and have no copy.
    core::duration min_overdue_wait = core::milliseconds{1000};
    /// Requests since it was last served from which on an adapter may be overdue.
    std::uint32_t min_overdue_requests = 2;
    /// Fraction of the loads from the store that overdue adapters get before all others.
    double overdue_load_share = 0.25;
    /// Adapters that were requested without being served.
    unserved_adapters_options unserved{};
    /// Prefill speed of an engine of the deployed size, in prompt tokens per millisecond.
    double prefill_tokens_per_ms = 38;
    /// Limit on concurrent loads from the weight store, adapted to its observed capacity.
    load_limiter_options store_loads{};
    /// How often adapters are used, as far as gateways report it.
    use_rate_options use_rates{};
    /// Number of adapters in the local cache of an engine, adapted to the observed loads.
    cache_size_options engine_cache{};
    /// Maximum concurrent loads at one engine. Engines accept no more.
    std::size_t max_loads_per_engine = 4;
};

/// Usage of the adapter slots and of the weight store.
struct placement_summary {
    std::size_t wanted = 0;        ///< Requested adapters that no engine holds or is loading.
    std::size_t overdue = 0;       ///< Of these, those that go before others.
    std::size_t store_loads = 0;   ///< Loads from the weight store that are in progress.
    std::size_t store_limit = 0;   ///< Limit on `store_loads`.
    std::size_t engines = 0;       ///< Engines that take orders.
    std::size_t adapter_slots = 0; ///< Adapter slots of these engines.
    std::size_t in_use = 0;        ///< Adapter slots whose adapter has running requests.
    std::size_t loading = 0;       ///< Adapter slots whose adapter is being loaded.
    std::size_t stalled = 0;       ///< Loads that their engines don't confirm any more.
    std::size_t just_used = 0;     ///< Adapter slots whose adapter is idle but not evictable yet.
    std::size_t unanswered = 0;    ///< Engines that have not answered their last order yet.
    std::size_t unknown = 0;       ///< Usable engines whose state is not known: no orders for them.
    std::size_t unloading = 0;     ///< Engines that refuse orders until an adapter is unloaded.
    bool fenced = false;           ///< An engine has seen orders of a later leader.
    core::duration longest_wait{}; ///< Of the `wanted` adapters, since they were last served.
    core::duration load_time{};    ///< Time after which a load from the store is looked at.
    core::duration unslowed_load_time{}; ///< As learnt by the limit; 0: unknown.
};

/// Assigns adapters to engines. Performs no I/O: reports and order results are passed in, orders
/// and engine views are returned.
///
/// Serves requests for many adapters of which each engine can hold only a few. Requests for one
/// adapter share one load. An adapter is loaded where that is fastest and where the evicted
/// adapter is least likely to be missed. An adapter in use is never evicted.
class placer {
public:
    explicit placer(placer_options options = {})
        : m_options(options), m_store_load_time(options.min_store_load_time),
          m_store_limiter(limiter_options(options)), m_cache_size(options.engine_cache),
          m_use_rates(options.use_rates), m_answer_time(options.order_answers),
          m_unserved(options.unserved)
    {
    }

    /// Starts to place adapters after this process has become the leader.
    /// @param from time before which no order is given.
    void begin_leadership(core::time_point from);
    /// Stops placing adapters: `plan` returns no more orders.
    void end_leadership();
    /// Returns whether this process is the leader.
    [[nodiscard]] bool active() const { return m_active; }

    /// Sets the deployment document, which defines the services and the limits of their engines.
    void set_deployment(const gateway::deployment& document);
    /// Raises the newest version of an adapter to @p version. Lower versions are ignored.
    void set_version(const adapter_name& name, std::uint64_t version);

    /// Updates an upstream from its announcement. The adapters that it holds are recorded even
    /// without leadership, so that a new leader places adapters where they are cached.
    /// @param usable whether the upstream may be given orders.
    void on_announcement(const wire::fleet_upstream_t& announcement, bool usable);
    /// Sets the engines that take only a limited rate of requests. Their copies don't serve wishes,
    /// and adapters are loaded on them only if there are no other engines.
    void set_limited(std::set<std::string> engines) { m_limited = std::move(engines); }
    /// Updates an engine from the answer to a poll.
    /// @param report the report, or none if the poll failed.
    /// @param asked time at which the poll was sent.
    void on_report(const std::string& upstream, const std::optional<engine_report>& report,
                   core::time_point asked);
    /// Updates the wishes and the usage of a gateway. A wish is its request for a copy of an
    /// adapter.
    void on_gateway_report(const wire::gateway_report_t& report, core::time_point now);
    /// Removes the wishes and the usage of the gateway on @p vm.
    void remove_gateway(const std::string& vm);

    /// Returns the IDs of the engines whose report is due, and marks them as being polled.
    std::vector<std::string> take_engines_to_poll(core::time_point now);
    /// Returns the orders to send now, at most one per engine.
    std::vector<order> plan(core::time_point now);
    /// Processes the outcome of the order @p id. An unknown ID is ignored.
    void on_order_result(std::uint64_t id, order_result result, core::time_point now);

    /// Returns the changes of the engines whose copies have changed since the last call: a whole
    /// view of an engine that is new, else the difference.
    std::vector<wire::engine_view_t> take_changed_views();
    /// Returns the whole views of the engines in @p changes, for gateways that read no differences.
    [[nodiscard]] std::vector<wire::engine_view_t>
    whole_views(const wire::engine_update_t& changes) const;
    /// Returns the views, without copies, of the engines whose load has changed since the last
    /// call.
    std::vector<wire::engine_view_t> take_load_views();
    /// Returns the views of all engines whose state is known.
    [[nodiscard]] std::vector<wire::engine_view_t> all_views() const;
    /// Returns what has been learnt of the weight store, or null if there were too few loads.
    [[nodiscard]] std::unique_ptr<wire::store_capacity_t> known_store() const;
    /// Returns the changes of the limit on loads from the weight store since the last call.
    std::vector<limit_change> take_limit_changes() { return m_store_limiter.take_changes(); }
    /// Returns the usage of the adapter slots and of the weight store.
    [[nodiscard]] placement_summary summary(core::time_point now) const;
    /// Returns the time at which `plan` or `take_engines_to_poll` has to be called next.
    [[nodiscard]] core::time_point next_due() const;

private:
    static load_limiter_options limiter_options(const placer_options& options)
    {
        auto limits = options.store_loads;
        limits.min_load_time = options.min_store_load_time;
        return limits;
    }

    enum class copy_state : std::uint8_t { loaded, loading, unloading };
    enum class placement : std::uint8_t { ordered, no_engine, waits };
    /// Memory of an engine that a base model and each of its adapters take, in MB.
    struct model_size {
        double weights_mb = 0;
        double adapter_mb = 0;
    };
    /// A copy of an adapter or a base model on one engine.
    struct adapter_copy {
        std::uint64_t version = 0;
        copy_state state = copy_state::loaded;
        std::uint64_t load_order = 0; ///< ID of the order that began the load.
        bool from_store = false;      ///< The load reads from the weight store, not from a cache.
        /// Age in the engine's history when the load began, or none if it isn't recorded there.
        std::optional<std::size_t> history_age;
        double load_seconds = 0; ///< Of the store limiter when the load began.
        bool replaces = false;   ///< Replaces another version, which waits for running requests.
        core::time_point next_poll_at{}; ///< When to poll a load in progress.
        core::duration poll_interval{};  ///< Doubles with each poll.
        core::time_point accepted_at{};  ///< When the engine accepted the load.
        core::time_point loading_at{};   ///< Latest time at which it surely was in progress.
        core::time_point confirmed_at{}; ///< When it was ordered, or the engine last confirmed it.
        core::time_point last_used{};
        bool used = false;                       ///< A gateway has reported a use since the load.
        std::uint64_t waiting_prompt_tokens = 0; ///< Of the requests that waited for the load.
        core::time_point loaded_at{};
        bool additional = false; ///< Another engine held the adapter when the load began.
        bool overdue = false;    ///< Loads before others because it has waited for long.
    };
    /// An order whose answer may still come.
    struct overdue_order {
        order given;
        std::optional<adapter_copy> copy; ///< Of a load, as it was when the order was sent.
    };
    /// The state of one engine.
    struct engine_state {
        std::string id;
        std::string address;
        std::string service;
        std::string software_version;
        std::uint64_t born_ms = 0;
        bool usable = false;
        bool state_known = false; ///< Whether `orders_accepted` and `copies` are up to date.
        std::uint64_t orders_accepted = 0;
        std::optional<order> pending_order;     ///< Sent, not answered yet.
        std::optional<order> unconfirmed_order; ///< Its call failed; may still be carried out.
        /// Sent and not answered in time. At most one of these and of the later orders with the
        /// same order count is carried out.
        std::vector<overdue_order> overdue_orders;
        unsigned unanswered_in_row = 0;
        core::time_point last_unanswered_at{}; ///< When an order was last not answered in time.
        core::time_point next_order_at{}; ///< Pause of an engine that leaves orders unanswered.
        core::time_point last_order_at{};
        core::time_point report_due{};
        bool report_pending = false;
        std::map<adapter_name, adapter_copy> copies;
        adapter_history history; ///< Adapters that it has held in this run.
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint64_t pending_tokens = 0; ///< Prompt tokens that await prefill, of all gateways.
        std::map<adapter_name, std::uint32_t> using_gateways; ///< Gateways that use each one.
        /// The engine unloads an adapter once its requests have ended, and refuses orders until
        /// then.
        bool awaits_unload = false;
        core::time_point unload_accepted_at{};
        std::size_t unreachable_from = 0; ///< Number of gateways that can't reach it.
        bool poll_failed = false;         ///< The last poll had no answer.
        /// It has answered a poll since gateways began to say that they can't reach it.
        bool answers_polls = false;
        core::time_point doubted_since{}; ///< When gateways began to say so.
        bool load_changed = false;
        /// Loaded copies and their versions as last published, or none before the first time.
        std::optional<std::map<adapter_name, std::uint64_t>> published;
    };
    /// A gateway's request for a copy of an adapter.
    struct wish {
        std::uint32_t waiting = 0;       ///< Requests that wait for the adapter.
        std::uint32_t late = 0;          ///< Of these, those that can hardly be in time any more.
        core::duration timely_left{};    ///< Time left until the first of the others is late.
        std::uint32_t rejected = 0;      ///< Requests that its holders rejected lately.
        core::duration time_left{};      ///< Time left until the earliest deadline.
        bool crowded = false;            ///< The copies are overloaded; another one would help.
        std::uint64_t prompt_tokens = 0; ///< Of the waiting requests.
        core::time_point first_reported{};
        core::time_point last_reported{};
    };
    /// An adapter, and the software version of the engines that are to hold it; empty for any.
    using wish_key = std::pair<adapter_name, std::string>;
    /// The latest report of one gateway.
    struct gateway_state {
        std::map<wish_key, wish> wishes;
        /// Running requests by engine ID and adapter.
        std::map<std::pair<std::string, adapter_name>, std::uint32_t> uses;
        std::map<std::string, std::uint64_t> pending_tokens; ///< By engine ID.
        std::vector<std::string> unreachable;                ///< Engine IDs.
    };
    /// The wishes of all gateways for one adapter.
    struct demand {
        const adapter_name* name = nullptr; ///< Valid until the next report of a gateway.
        adapter_key key = 0;
        std::string software_version; ///< Of the engines that can serve it; empty for any.
        std::uint32_t waiting = 0;
        std::uint32_t late = 0;
        core::duration timely_left = core::duration::max();
        std::uint32_t rejected = 0;
        core::duration time_left{};
        bool crowded = false;
        std::uint64_t prompt_tokens = 0;
        core::time_point since{}; ///< First report of the oldest wish.
        /// Requests since it was last served, if it has no copy.
        unserved_adapters::unserved_requests unserved;
    };

    /// The copies of one adapter on usable engines.
    struct copy_summary {
        bool loading = false; ///< The newest version is being loaded.
        /// Shortest wait, in ms, at an engine that holds the newest version, or none.
        std::optional<double> min_wait_ms;
        std::size_t settled = 0;
        std::size_t fresh = 0; ///< Additional copies that haven't attracted requests yet.

        /// Returns whether another copy of an adapter that has copies may be loaded now.
        /// @param growth how many further copies each settled one allows.
        [[nodiscard]] bool may_add_copy(std::size_t growth) const;
    };
    /// By adapter, over all engines, and by adapter and software version.
    struct copy_index {
        std::unordered_map<adapter_key, copy_summary> all;
        std::map<std::pair<adapter_key, std::string>, copy_summary> by_software;

        /// Returns the copies that can serve a demand, or null if there are none.
        [[nodiscard]] const copy_summary* find(const demand& wanted) const;
    };
    /// An adapter that may be evicted, and what that costs.
    struct eviction {
        adapter_name name;
        double size_mb = 0;
        double cost_ms = 0;
    };
    /// An engine that can take an order, and what a load there costs apart from the load itself.
    struct load_offer {
        engine_state* engine = nullptr;
        std::size_t free_slots = 0;
        double free_mb = 0;              ///< Negative if the engine holds more than its memory.
        double adapters_mb = 0;          ///< Memory that its base models leave for adapters.
        std::vector<eviction> evictable; ///< The least recently used first.
        double wait_ms = 0;              ///< Delay of a first token by other requests.

        /// Returns what to evict before an adapter of @p size_mb fits, or none if that is
        /// impossible. The list is empty if there is room already.
        [[nodiscard]] std::optional<std::vector<const eviction*>> make_room(double size_mb) const;
    };

    [[nodiscard]] std::vector<demand> collect_demands(core::time_point now) const;
    /// Returns what a copy is worth to the requests that wait for it.
    [[nodiscard]] double worth_of(const demand& wanted) const;
    [[nodiscard]] copy_index index_copies(core::time_point now) const;
    /// @param wished adapters that gateways wish for.
    [[nodiscard]] std::vector<load_offer>
    collect_offers(const std::unordered_set<adapter_key>& wished, core::time_point now);
    /// Returns whether no usable engine holds or loads the newest version.
    [[nodiscard]] static bool is_missing(const copy_index& copies, const demand& wanted);
    /// Orders loads and evictions for the adapters that gateways wish for.
    void place_adapters(core::time_point now, std::vector<order>& orders);
    [[nodiscard]] bool should_wait_for_recent_engine(const demand& wanted,
                                                     core::time_point now) const;
    void add_usage(gateway_state& state, const wire::gateway_report_t& report);
    void remove_usage(gateway_state& state);
    [[nodiscard]] std::uint64_t newest_version(const adapter_name& name) const;
    [[nodiscard]] const gateway::engine_capacity* capacity_of(const engine_state& engine) const;
    [[nodiscard]] std::size_t used_adapter_slots(const engine_state& engine) const;
    /// Returns the memory of an engine that a base model or an adapter takes, in MB; 0 if it isn't
    /// known.
    [[nodiscard]] double size_mb(const engine_state& engine, const adapter_name& name) const;
    /// Returns the memory of an engine that all it holds, loads and unloads may take, in MB.
    [[nodiscard]] double used_memory_mb(const engine_state& engine) const;
    /// Returns the memory that the base models of an engine take, in MB.
    [[nodiscard]] double base_models_mb(const engine_state& engine) const;
    /// Returns how many adapters the slots and the memory of an engine hold.
    [[nodiscard]] std::size_t adapter_capacity(const engine_state& engine) const;
    /// Returns the number of loads from the weight store that are in progress.
    /// @param accepted counts only those that their engines have accepted.
    [[nodiscard]] std::size_t store_loads(core::time_point now, bool accepted = false) const;
    /// Returns whether a copy is being loaded, as far as is known.
    [[nodiscard]] bool is_loading(const adapter_copy& held, core::time_point now) const;
    [[nodiscard]] core::duration min_idle_before_eviction() const;
    /// Returns whether requests can be sent to the engine.
    [[nodiscard]] bool is_usable(const engine_state& engine) const;
    /// Returns whether so many gateways can't reach the engine that it may have ended.
    [[nodiscard]] bool is_doubted(const engine_state& engine) const;
    [[nodiscard]] bool can_take_order(const engine_state& engine, core::time_point now) const;
    [[nodiscard]] std::uint64_t pending_prefill_tokens(const engine_state& engine,
                                                       core::time_point now) const;
    [[nodiscard]] bool in_use(const engine_state& engine, const adapter_name& name) const;
    /// Returns whether the engine has the software version that the demand needs.
    [[nodiscard]] static bool can_serve(const engine_state& engine, const demand& wanted);
    /// Returns whether the adapter is idle, and has hardly been used since the last reports.
    [[nodiscard]] bool may_evict(const engine_state& engine, const adapter_name& name,
                                 const adapter_copy& held,
                                 const std::unordered_set<adapter_key>& wished,
                                 core::time_point now) const;
    /// Returns the adapters that may be evicted, the least recently used first.
    [[nodiscard]] std::vector<eviction>
    find_evictable(const engine_state& engine, const std::unordered_set<adapter_key>& wished,
                   core::time_point now) const;
    /// Returns the cost in ms of loading an adapter on an engine, or none if that is impossible.
    [[nodiscard]] std::optional<double> placement_cost_ms(const load_offer& offer,
                                                          const demand& wanted) const;
    [[nodiscard]] bool held_recently(const engine_state& engine, adapter_key key) const;
    [[nodiscard]] bool has_unlimited_engines() const;
    [[nodiscard]] bool many_slots_idle(core::time_point now) const;
    /// Returns whether an adapter without any copy has waited too long for an adapter slot.
    [[nodiscard]] bool slots_scarce(const std::vector<demand>& list, const copy_index& copies,
                                    core::time_point now) const;
    /// Orders a copy of an adapter, or the eviction that makes room for it.
    /// @param wait_ms wait in ms at the least busy copy, or none if there is no copy.
    /// @param offers loses the engine that takes the order.
    /// @return what came of it.
    placement place_adapter(const demand& wanted, std::optional<double> wait_ms,
                            std::vector<load_offer>& offers, core::time_point now,
                            std::vector<order>& orders);
    /// Returns the adapters of @p list that have no copy and are overdue: those first that were
    /// requested most often in vain, then those that have waited longest.
    std::vector<const demand*> find_overdue(std::vector<demand>& list, const copy_index& copies,
                                            core::time_point now);
    /// Orders copies of overdue adapters, up to their share of the loads.
    /// @param placed gets the adapters for which an order was given.
    /// @return whether one of them found no engine.
    bool place_overdue(const std::vector<const demand*>& overdue, std::vector<load_offer>& offers,
                       core::time_point now, std::vector<order>& orders,
                       std::unordered_set<adapter_key>& placed);
    [[nodiscard]] core::duration overdue_wait(std::size_t missing) const;
    void poll_loads(core::time_point now, std::vector<order>& orders);
    void load_base_models(core::time_point now, std::vector<order>& orders);
    order& create_order(engine_state& engine, const adapter_name& name, std::uint64_t version,
                        bool unload, core::time_point now);
    void apply_success(engine_state& engine, const order& given, order_result result,
                       core::time_point now);
    /// Sets when a load in progress is polled next.
    void schedule_poll(adapter_copy& held, core::time_point now);
    /// Learns from a completed load how fast the store and the caches of the engines are.
    void learn_from_load(const engine_state& engine, const adapter_copy& held,
                         core::time_point now);
    void update_store_load_time(const adapter_copy& held, core::time_point now);
    void apply_report(engine_state& engine, const engine_report& report, core::time_point now);
    [[nodiscard]] wire::engine_view_t make_view(const engine_state& engine) const;
    [[nodiscard]] static wire::engine_view_t make_load_view(const engine_state& engine);
    [[nodiscard]] static wire::engine_view_t
    make_delta(const engine_state& engine, const std::map<adapter_name, std::uint64_t>& loaded);
    [[nodiscard]] static std::map<adapter_name, std::uint64_t>
    loaded_versions(const engine_state& engine);
    engine_state* find_by_order(std::uint64_t order_id);
    /// Lets engines take other orders than those that they haven't answered in time.
    void release_overdue_orders(core::time_point now);
    /// Processes the outcome of an order that was released, and returns whether @p id is one.
    bool on_overdue_result(std::uint64_t id, order_result result, core::time_point now);
    /// Processes the outcome of @p given, which has left `pending_order`.
    void apply_result(engine_state& engine, const order& given, order_result result,
                      core::time_point now);

    placer_options m_options;
    bool m_active = false;
    bool m_fenced = false;               ///< A later leader has given orders.
    core::time_point m_first_order_at{}; ///< No order is given before this time.
    gateway::deployment m_deployment;
    /// By service and base model. Models that a later document lacks stay, because engines may hold
    /// them.
    std::map<std::pair<std::string, std::string>, model_size> m_model_sizes;
    std::set<std::string> m_unplaceable; ///< Base models whose adapters no engine can hold.
    std::map<adapter_name, std::uint64_t> m_newest_versions;
    std::map<std::string, engine_state> m_engines;
    std::map<std::string, gateway_state> m_gateways;
    std::set<std::string> m_changed_engines;
    std::set<std::string> m_limited;  ///< Engines that take only a limited rate of requests.
    core::duration m_store_load_time; ///< Estimate of a load from the weight store.
    load_limiter m_store_limiter;
    cache_size_estimate m_cache_size;
    use_rate_estimate m_use_rates;
    answer_time_estimate m_answer_time;
    unserved_adapters m_unserved;
    std::uint64_t m_next_order_id = 1;
    core::time_point m_next_model_load_at{}; ///< Limits the rate of base model loads.
    core::time_point m_next_check_at{};
};

} // namespace siskindrift::adapters
