// Runs an edge instance: the threads, sockets and signals around the load
// balancer's state machine (`token::Core`).

#ifndef CHICORYBANK_EDGE_EDGE_H
#define CHICORYBANK_EDGE_EDGE_H

#include "chicorybank/edge/Framing.h"
#include "chicorybank/edge/Registry.h"
#include "chicorybank/edge/Settings.h"

#include <string>
#include <tl/expected.hpp>

namespace chicory::edge {

/// Reads the settings file at `path`. Adds every error in it to `findings`.
std::optional<EdgeSettings> loadEdgeSettings(const std::string &path,
                                             Findings &findings);

/// Serves until the planned stop that SIGTERM or SIGINT begins is complete.
/// Returns an error if the instance can't start. Call it only once in a
/// process: it sets the handlers of SIGTERM, SIGINT, SIGHUP and SIGPIPE.
/// Reads the file at `path` again when it has changed, or on SIGHUP, and
/// applies the settings that need no restart. An empty path stands for no file.
tl::expected<void, std::string> runEdge(EdgeSettings settings,
                                        const std::string &path,
                                        const RegistryDialect &dialect,
                                        const Framing &framing);

} // namespace chicory::edge

#endif
