#pragma once

#include <span>
#include <string>

#include "schema/field.h"
#include "schema/field_binding.h"
#include "settings/settings.h"

namespace chivewing {

// The keys of a settings file, in the order of the docs.
std::span<const FieldSpec> SettingsSpecs();

// How each key is kept in the model; the object list has no binding.
std::span<const FieldBinding<Settings>> SettingsBindings();

// The keys of one object of the list "peers".
std::span<const FieldSpec> PeerSpecs();
std::span<const FieldBinding<PeerSettings>> PeerBindings();

// The tables of docs/SETTINGS.md.
std::string SettingsTable();
std::string PeerTable();

}  // namespace chivewing
