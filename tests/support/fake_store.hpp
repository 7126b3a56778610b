#pragma once

#include <functional>
#include <map>

#include "eelgrassledge/claims/claim.hpp"
#include "eelgrassledge/config/document_writer.hpp"
#include "eelgrassledge/membership/zone_coordinator.hpp"

namespace eelgrassledge::test {

/// In-memory store of the platform that can simulate outages, lost replies and expired leases.
class fake_store {
  public:
    std::function<time_point()> now;
    bool down = false;     ///< Every operation fails with `store_unavailable`.
    int lose_answers = 0;  ///< Number of next writes that take effect but whose replies are lost.

    auto put(const std::string& key, const std::string& value, lease_id lease = {}) -> mod_revision {
        values_[key] = {value, mod_revision{++revision_}, lease};
        return values_[key].modified;
    }

    /// Removes expired leases and the keys tied to them.
    auto expire_leases() -> void {
        std::erase_if(leases_, [&](const auto& item) { return item.second <= now(); });
        std::erase_if(values_, [&](const auto& item) {
            return item.second.lease != lease_id{} && !leases_.contains(item.second.lease);
        });
    }

    /// Ends all leases at once, regardless of their time to live.
    auto lapse_leases() -> void {
        leases_.clear();
        expire_leases();
    }

    /// The operations of this store as a `store`.
    auto hooks() -> store {
        store operations;
        operations.read = [this](const std::string& prefix) -> result<std::vector<key_value>> {
            if (down) {
                return fail(result_code::store_unavailable, "down");
            }
            std::vector<key_value> found;
            for (const auto& [key, stored] : values_) {
                if (key.starts_with(prefix)) {
                    found.push_back({key, stored.value, stored.modified});
                }
            }
            return found;
        };
        operations.put_if = [this](const std::string& key, const std::string& value, mod_revision expected,
                                   lease_id lease) {
            return write([&]() -> put_outcome {
                auto found = values_.find(key);
                auto current = found == values_.end() ? mod_revision{} : found->second.modified;
                if (current != expected || (lease != lease_id{} && !leases_.contains(lease))) {
                    return {false, current};
                }
                return {true, put(key, value, lease)};
            });
        };
        operations.remove_if = [this](const std::string& key, mod_revision expected) {
            return write([&]() -> put_outcome {
                auto found = values_.find(key);
                if (found == values_.end() || found->second.modified != expected) {
                    return {false, {}};
                }
                values_.erase(found);
                return {true, {}};
            });
        };
        operations.grant = [this](seconds time_to_live) -> result<lease_id> {
            if (down) {
                return fail(result_code::store_unavailable, "down");
            }
            lease_id lease{++next_lease_};
            leases_[lease] = now() + time_to_live;
            return lease;
        };
        operations.keep_alive = [this](lease_id lease) -> result<seconds> {
            if (down) {
                return fail(result_code::store_unavailable, "down");
            }
            auto found = leases_.find(lease);
            if (found == leases_.end()) {
                return seconds{0};
            }
            found->second = now() + seconds{3};
            return seconds{3};
        };
        operations.revoke = [this](lease_id lease) -> result<bool> {
            if (down) {
                return fail(result_code::store_unavailable, "down");
            }
            leases_.erase(lease);
            expire_leases();
            return true;
        };
        return operations;
    }

    /// Runs a store operation of a zone coordinator, as `platform_link` does.
    auto run(const store_op& op, const zone_id& zone) -> result<store_reply> {
        auto operations = hooks();
        auto reporter_key = store_keys::REPORTERS + zone.value() + "/holder";
        store_reply reply;
        auto set_field = [&](auto outcome, auto field) -> result<store_reply> {
            if (!outcome) {
                return tl::unexpected{outcome.error()};
            }
            reply.*field = *outcome;
            return reply;
        };
        if (std::holds_alternative<read_shared_op>(op)) {
            return set_field(operations.read(store_keys::SHARED), &store_reply::keys);
        }
        if (std::holds_alternative<read_reporter_op>(op)) {
            return set_field(operations.read(reporter_key), &store_reply::keys);
        }
        if (std::holds_alternative<grant_lease_op>(op)) {
            return set_field(operations.grant(seconds{3}), &store_reply::lease);
        }
        if (const auto* create = std::get_if<create_reporter_op>(&op)) {
            return set_field(operations.put_if(reporter_key, create->value, {}, create->lease),
                             &store_reply::put);
        }
        if (const auto* renew = std::get_if<keep_alive_op>(&op)) {
            return set_field(operations.keep_alive(renew->lease), &store_reply::time_to_live);
        }
        if (const auto* write = std::get_if<write_assignment_op>(&op)) {
            return set_field(operations.put_if(store_keys::ASSIGNMENTS + zone.value(), to_json(write->value),
                                               write->expected, {}),
                             &store_reply::put);
        }
        auto revoked = operations.revoke(std::get<revoke_op>(op).lease);
        return revoked ? result<store_reply>{reply} : tl::unexpected{revoked.error()};
    }

  private:
    struct stored_value {
        std::string value;
        mod_revision modified;
        lease_id lease;
    };

    /// Applies a write and returns its outcome, or `store_unclear` if the reply is to be lost.
    template <class Effect>
    auto write(Effect effect) -> result<put_outcome> {
        if (down) {
            return fail(result_code::store_unavailable, "down");
        }
        auto outcome = effect();
        if (lose_answers > 0) {
            --lose_answers;
            return fail(result_code::store_unclear, "lost");
        }
        return outcome;
    }

    std::map<std::string, stored_value> values_;
    std::map<lease_id, time_point> leases_;
    std::int64_t revision_ = 0;
    std::int64_t next_lease_ = 0;
};

}  // namespace eelgrassledge::test
