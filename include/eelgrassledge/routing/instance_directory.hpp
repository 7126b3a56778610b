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

/// What an instance tells the others of itself.
struct instance_record {
    instance_id id;
    zone_id zone;
    /// Address for traffic between instances.
    std::string peer_address;
    /// Processor cores that it may use.
    double capacity = 0;
};

/// The instances that are known, and which of them failed to answer lately. Not synchronized.
class instance_directory {
  public:
    explicit instance_directory(instance_record self) : self_(std::move(self)) {}

    /// Takes a record. Gives whether the instance was unknown.
    auto update(instance_record record) -> bool;
    auto remove(const instance_id& id) -> void;

    /// Records that an instance did not answer; it gets nothing until a pause has passed, which doubles.
    auto failed(const instance_id& id, time_point now) -> void;
    /// Records that an instance answered.
    auto answered(const instance_id& id) -> void;

    /// Every instance but this one.
    [[nodiscard]] auto others() const -> std::vector<instance_record>;

    [[nodiscard]] auto count() const -> std::size_t;
    [[nodiscard]] auto self() const -> const instance_record& { return self_; }

    /// Instances of a zone that may be asked now, this one included, except those with less than half of the
    /// capacity of the largest. Linear in the number of instances.
    [[nodiscard]] auto eligible_in(const zone_id& zone, time_point now) const -> std::vector<instance_record>;

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
