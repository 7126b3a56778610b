#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace eelgrassledge {

/// Wrapper of a value of type `Rep` without implicit conversions; `Tag` makes each instantiation a distinct
/// type.
///
/// Values with different tags can be neither compared with nor assigned to each other. Every operation has
/// the complexity of the same operation on `Rep`.
///
/// Example: `using epoch = strong_type<struct epoch_tag, std::uint64_t>;`
template <class Tag, class Rep>
class strong_type {
  public:
    using rep = Rep;

    constexpr strong_type() = default;
    constexpr explicit strong_type(Rep value) : value_(std::move(value)) {}

    [[nodiscard]] constexpr auto value() const -> const Rep& { return value_; }

    // NOLINTNEXTLINE(modernize-*)
    friend auto operator<=>(const strong_type&, const strong_type&) = default;
    friend auto operator<<(std::ostream& out, const strong_type& id) -> std::ostream& {
        return out << id.value_;
    }

  private:
    Rep value_{};
};

}  // namespace eelgrassledge

template <class Tag, class Rep>
struct std::hash<eelgrassledge::strong_type<Tag, Rep>> {
    auto operator()(const eelgrassledge::strong_type<Tag, Rep>& id) const -> std::size_t {
        return std::hash<Rep>{}(id.value());
    }
};
