#pragma once

#include <span>
#include <string>

#include "schema/field.h"
#include "schema/field_binding.h"
#include "settings/settings.h"

namespace chivewing {

// The keys of a settings file, in the order of docs/SETTINGS.md.
std::span<const FieldSpec> SettingsSpecs();

// The member of Settings for each key, by the index of SettingsSpecs(). The
// binding of the list "peers" is empty; ReadSettings reads its objects.
std::span<const FieldBinding<Settings>> SettingsBindings();

// The keys of one object in the list "peers" and their members.
std::span<const FieldSpec> PeerSpecs();
std::span<const FieldBinding<PeerSettings>> PeerBindings();

// The Markdown tables of docs/SETTINGS.md: all settings, and the keys of a
// peer.
std::string SettingsTable();
std::string PeerTable();

}  // namespace chivewing
