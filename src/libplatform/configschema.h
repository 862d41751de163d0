#pragma once

#include <string_view>

namespace kingcuptrail {

/// JSON Schema of an operator's configuration file. `additionalProperties` is a schema that matches nothing ("not" of the
/// empty schema) instead of `false`, so that the validator reports every unknown field and not only the first. The limits:
/// names must fit into file names and metric labels; larger queues, slot counts or flow limits would exceed the memory of one
/// agent; a warm-up of more than an hour is most likely a mistaken unit.
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
