// Reads, merges, checks and compares configuration files; encodes the stored form.

#pragma once

#include "config/configtypes.h"
#include "framework/checkedtable.h"
#include "framework/result.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::config
{

using framework::Diagnostics;

/// One configuration file in memory.
struct SourceFile
{
    std::string name;
    std::string text;
};

struct LoadedConfig
{
    Config config;
    std::string toml; ///< The merged text, in canonical form.
    Diagnostics diagnostics; ///< Empty on success.
};

/// Checks the base and each overlay on its own, merges them in order and checks the whole.
LoadedConfig load(std::span<const SourceFile> files);

/// Parses merged text, as a node does with what the store holds.
LoadedConfig loadMerged(std::string_view toml);

/// Lines "+ key = value", "- key = value" and "~ key: old -> new" between two merged texts, sorted by key.
std::vector<std::string> diff(std::string_view oldToml, std::string_view newToml);

/// Sets or clears `out` of a zone, upstream or entry. @p section is "zones", "upstreams" or "entries".
framework::Result<std::string> withOut(std::string_view toml, std::string_view section, std::string_view name, bool out);

std::string encodeStored(const StoredConfig &stored);
framework::Result<StoredConfig> decodeStored(std::string_view text);

} // namespace daisymount::config
