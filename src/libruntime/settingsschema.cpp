#include "settingsschema.h"

namespace kingcuptrail {

// Unknown fields are rejected by a schema that matches nothing, because the library then reports each of them; with
// "additionalProperties": false it reports only the first.
std::string_view settingsSchema()
{
    return R"JSON({
"$schema": "http://json-schema.org/draft-07/schema#",
"type": "object",
"additionalProperties": { "not": {} },
"required": ["role", "name", "dataCentre", "listen", "admin", "platform"],
"properties": {
    "role": { "type": "string", "enum": ["balancer", "agent", "packetBalancer", "packetAgent"] },
    "name": { "type": "string", "minLength": 1, "maxLength": 64, "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$" },
    "dataCentre": { "type": "string", "minLength": 1, "maxLength": 64 },
    "listen": { "type": "string" },
    "admin": { "type": "string" },
    "platform": { "type": "string" },
    "logLevel": { "type": "string", "enum": ["info", "warning", "error", "off"] },
    "logFormat": { "type": "string", "enum": ["text", "json"] },
    "heartbeatMs": { "type": "integer", "minimum": 10, "maximum": 10000 },
    "linkSilenceMs": { "type": "integer", "minimum": 30, "maximum": 60000 },
    "agent": {
        "type": "object",
        "additionalProperties": { "not": {} },
        "required": ["upstreamName", "service", "upstream"],
        "properties": {
            "upstreamName": { "type": "string", "minLength": 1, "maxLength": 64, "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$" },
            "service": { "type": "string", "minLength": 1, "maxLength": 64 },
            "upstream": { "type": "string" },
            "announce": { "type": "string" },
            "healthPath": { "type": "string", "pattern": "^/" },
            "loadPath": { "type": "string", "pattern": "^/" },
            "leaseMs": { "type": "integer", "minimum": 500, "maximum": 300000 },
            "drainIdleMs": { "type": "integer", "minimum": 0, "maximum": 600000 },
            "drainLimitMs": { "type": "integer", "minimum": 0, "maximum": 86400000 },
            "flowSilenceMs": { "type": "integer", "minimum": 1000, "maximum": 3600000 }
        }
    },
    "packets": {
        "type": "object",
        "additionalProperties": { "not": {} },
        "required": ["ingress", "ready"],
        "properties": {
            "ingress": { "type": "string" },
            "ready": { "type": "string" },
            "upstream": { "type": "string" },
            "outbound": { "type": "string" },
            "control": { "type": "string" },
            "seeds": { "type": "array", "items": { "type": "string" }, "maxItems": 16 },
            "addressReuseSeconds": { "type": "number", "minimum": 0.2, "maximum": 600 },
            "reportIntervalMs": { "type": "integer", "minimum": 10, "maximum": 600000 },
            "flowLifetimeSeconds": { "type": "number", "minimum": 0, "maximum": 31536000 },
            "leaveSeconds": { "type": "number", "minimum": 0.5, "maximum": 600 },
            "linkMegabits": { "type": "number", "minimum": 0.1, "maximum": 1000000 },
            "toleratedDataCentreLosses": { "type": "integer", "minimum": 0, "maximum": 16 }
        }
    }
}
})JSON";
}

}
