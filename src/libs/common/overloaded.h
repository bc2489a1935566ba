#pragma once

namespace CassiaRelay {

/** Builds a visitor for std::visit out of lambdas. */
template<typename... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace CassiaRelay
