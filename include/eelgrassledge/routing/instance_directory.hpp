#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "eelgrassledge/core/ids.hpp"
#include "eelgrassledge/core/result_code.hpp"
#include "eelgrassledge/core/time.hpp"

namespace eelgrassledge {

/// What an instance publishes about itself to the others.
struct instance_record {
    instance_id id;
    zone_id zone;
    /// Address for traffic between instances.
    std::string peer_address;
    /// Number of processor cores that it may use.
    double capacity = 0;
};

/// The known instances, and which of them failed to answer recently. Not synchronized.
class instance_directory {
  public:
    explicit instance_directory(instance_record self) : self_(std::move(self)) {}

    /// Adds or updates an instance other than this one. Returns whether it was unknown.
    auto update(instance_record record) -> bool;
    auto remove(const instance_id& id) -> void;

    /// Records that an instance did not answer. It is not used for a time that doubles, within bounds, with
    /// each failure after the previous time has passed.
    auto failed(const instance_id& id, time_point now) -> void;
    /// Records that an instance answered; resets the time for its next failure.
    auto answered(const instance_id& id) -> void;

    /// All known instances except this one.
    [[nodiscard]] auto others() const -> std::vector<instance_record>;

    [[nodiscard]] auto count() const -> std::size_t;
    [[nodiscard]] auto self() const -> const instance_record& { return self_; }

    /// Usable instances of a zone, this one included, except those with less than half of the capacity of the
    /// largest. Linear in the number of instances.
    [[nodiscard]] auto eligible_in(const zone_id& zone, time_point now) const -> std::vector<instance_record>;

    /// Number of instances that are eligible in their zones.
    [[nodiscard]] auto eligible_count(time_point now) const -> std::size_t;
    /// Whether this instance is one of them.
    [[nodiscard]] auto is_self_eligible(time_point now) const -> bool;

    [[nodiscard]] auto all_in(const zone_id& zone) const -> std::vector<instance_record>;
    [[nodiscard]] auto is_known(const instance_id& id) const -> bool { return others_.contains(id); }
    [[nodiscard]] auto is_usable(const instance_id& id, time_point now) const -> bool;

  private:
    struct known_instance {
        instance_record record;
        time_point avoid_until{};
        duration avoid_for{};
    };

    instance_record self_;
    std::map<instance_id, known_instance> others_;
};

}  // namespace eelgrassledge
