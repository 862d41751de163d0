#include "storedialect.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusGone = 410;
    constexpr int serverErrors = 500;

    std::string objectTarget(const std::string& kind, const std::string& name)
    {
        return "/objects/" + percentEncode(kind) + "/" + percentEncode(name);
    }

    PlatformObject objectFromJson(const json& document)
    {
        PlatformObject object { .name = document.at("name").get<std::string>(), .version = document.at("version").get<ObjectVersion>(), .value = {} };
        if (const json& value = document.at("value"); !value.is_null())
            object.value = value.dump();
        return object;
    }

    ObjectList listFromJson(const json& document)
    {
        ObjectList list { .version = document.at("version").get<ObjectVersion>(), .objects = {} };
        for (const json& object : document.at("objects"))
            list.objects.push_back(objectFromJson(object));
        return list;
    }

    ObjectVersion versionFromJson(const json& document)
    {
        return document.at("version").get<ObjectVersion>();
    }

    template <typename Result>
    std::optional<Result> decodeBody(const std::string& body, Result (*read)(const json&))
    {
        const json document = json::parse(body, nullptr, false);
        if (document.is_discarded())
            return std::nullopt;
        try {
            return read(document);
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    HttpRequest getRequest(const std::string& kind, const std::string& name, ReadFreshness)
    {
        return { .target = objectTarget(kind, name) };
    }

    HttpRequest listRequest(const std::string& kind, const std::string&, ReadFreshness)
    {
        return { .target = "/objects/" + percentEncode(kind) };
    }

    HttpRequest putRequest(const std::string& kind, const std::string& name, const std::string& value, ObjectVersion ifVersion)
    {
        return {
            .method = "PUT",
            .target = objectTarget(kind, name) + "?ifVersion=" + std::to_string(ifVersion),
            .headers = { { .name = "Content-Type", .value = "application/json" } },
            .body = value,
        };
    }

    HttpRequest removeRequest(const std::string& kind, const std::string& name, ObjectVersion ifVersion)
    {
        return { .method = "DELETE", .target = objectTarget(kind, name) + "?ifVersion=" + std::to_string(ifVersion) };
    }

    HttpRequest watchRequest(const std::string& kind, ObjectVersion since, Millis wait)
    {
        return { .target = "/watch/" + percentEncode(kind) + "?since=" + std::to_string(since) + "&wait=" + std::to_string(wait) };
    }

    std::optional<PlatformObject> decodeObject(const std::string& body)
    {
        return decodeBody(body, objectFromJson);
    }

    std::optional<ObjectList> decodeChanges(const std::string& body)
    {
        return decodeBody(body, listFromJson);
    }

    std::optional<ObjectPage> decodePage(const std::string& body)
    {
        auto list = decodeChanges(body);
        if (!list)
            return std::nullopt;
        return ObjectPage { .list = std::move(*list) };
    }

    std::optional<ObjectVersion> decodeVersion(const std::string& body)
    {
        return decodeBody(body, versionFromJson);
    }

    PlatformError errorFromStatus(int status)
    {
        switch (status) {
        case statusOk:
            return PlatformError::None;
        case statusNotFound:
            return PlatformError::NotFound;
        case statusConflict:
            return PlatformError::Conflict;
        case statusGone:
            return PlatformError::Gone;
        default:
            // A server error does not show whether the write took effect.
            return status >= serverErrors ? PlatformError::NoAnswer : PlatformError::Refused;
        }
    }

}

const StoreDialect& plainDialect()
{
    static constexpr StoreDialect dialect {
        .get = getRequest,
        .list = listRequest,
        .put = putRequest,
        .remove = removeRequest,
        .watch = watchRequest,
        .decodeObject = decodeObject,
        .decodePage = decodePage,
        .decodeChanges = decodeChanges,
        .decodeVersion = decodeVersion,
        .errorFromStatus = errorFromStatus,
    };
    return dialect;
}

}
