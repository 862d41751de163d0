#pragma once

#include <string_view>

namespace kingcuptrail {

/// JSON Schema of an operators' file. A schema that matches nothing ("not" of the empty schema) stands where the usual
/// form is `additionalProperties: false`: the validator then reports every unknown field and not only the first.
/// Limits: a name fits a file name and a label; a queue, a slot count or a flow limit beyond these would not fit the
/// memory of one agent; a warm-up beyond an hour is a mistyped unit.
constexpr std::string_view configSchema = R"json({
  "type": "object",
  "required": ["services", "dataCentres"],
  "additionalProperties": { "not": {} },
  "properties": {
    "version": { "type": "integer", "minimum": 0 },
    "services": {
      "type": "array",
      "maxItems": 10000,
      "items": {
        "type": "object",
        "required": ["name", "address", "dataCentres", "slots"],
        "additionalProperties": { "not": {} },
        "properties": {
          "name": { "type": "string", "minLength": 1, "maxLength": 63 },
          "address": { "type": "string" },
          "dataCentres": { "type": "array", "minItems": 1, "maxItems": 64, "items": { "type": "string" } },
          "slots": { "type": "integer", "minimum": 1, "maximum": 10000 },
          "queueLimit": { "type": "integer", "minimum": 0, "maximum": 100000 },
          "flowLimit": { "type": "integer", "minimum": 1, "maximum": 1000000 },
          "warmUpMs": { "type": "integer", "minimum": 0, "maximum": 3600000 }
        }
      }
    },
    "dataCentres": {
      "type": "array",
      "minItems": 1,
      "maxItems": 64,
      "items": {
        "type": "object",
        "required": ["name"],
        "additionalProperties": { "not": {} },
        "properties": {
          "name": { "type": "string", "minLength": 1, "maxLength": 63 },
          "out": { "type": "boolean" }
        }
      }
    }
  }
})json";

}
