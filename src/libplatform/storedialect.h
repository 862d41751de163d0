#pragma once

#include "libhttp/http.h"
#include "platformclient.h"

namespace kingcuptrail {

/// One page of a list.
struct ObjectPage {
    ObjectList list;
    bool hasMore = false;
};

/// Encodes PlatformClient's requests for the object API of one kind of store and decodes the responses. To support another kind
/// of store, only another table of these functions is needed.
struct StoreDialect {
    HttpRequest (*get)(const std::string& kind, const std::string& name, ReadFreshness freshness) = nullptr;
    /// Requests the page of a list that follows the name `after`; empty for the first page.
    HttpRequest (*list)(const std::string& kind, const std::string& after, ReadFreshness freshness) = nullptr;
    /// Writes the object if it has the version `ifVersion`; 0 means that it must not exist.
    HttpRequest (*put)(const std::string& kind, const std::string& name, const std::string& value, ObjectVersion ifVersion) = nullptr;
    HttpRequest (*remove)(const std::string& kind, const std::string& name, ObjectVersion ifVersion) = nullptr;
    HttpRequest (*watch)(const std::string& kind, ObjectVersion since, Millis wait, ReadFreshness freshness) = nullptr;

    std::optional<PlatformObject> (*decodeObject)(const std::string& body) = nullptr;
    std::optional<ObjectPage> (*decodePage)(const std::string& body) = nullptr;
    std::optional<ObjectList> (*decodeChanges)(const std::string& body) = nullptr;
    /// Decodes the version of the object from the response to a write or removal.
    std::optional<ObjectVersion> (*decodeVersion)(const std::string& body) = nullptr;
    PlatformError (*errorFromStatus)(int status) = nullptr;
};

/// The project's own object API: GET /objects/KIND/NAME, PUT and DELETE with ?ifVersion=N (0: must not exist),
/// GET /objects/KIND, GET /watch/KIND?since=V&wait=MS.
const StoreDialect& plainDialect();

}
