#include "storedialect.h"

#include "jsontext.h"

namespace kingcuptrail {

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

    /// Reads an object without parsing its value, which any program may have written.
    std::optional<PlatformObject> objectFromText(std::string_view text)
    {
        const auto fields = splitObject(text);
        const auto name = fields ? parseString(fieldValue(*fields, "name")) : std::nullopt;
        const auto version = fields ? parseUnsigned(fieldValue(*fields, "version")) : std::nullopt;
        const std::string_view value = fields ? fieldValue(*fields, "value") : std::string_view();
        if (!name || !version || value.empty())
            return std::nullopt;
        PlatformObject object { .name = *name, .version = *version, .value = {} };
        if (value != "null")
            object.value = std::string(value);
        return object;
    }

    std::optional<ObjectVersion> versionFromFields(const std::optional<std::vector<JsonField>>& fields)
    {
        return fields ? parseUnsigned(fieldValue(*fields, "version")) : std::nullopt;
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

    HttpRequest watchRequest(const std::string& kind, ObjectVersion since, Millis wait, ReadFreshness)
    {
        return { .target = "/watch/" + percentEncode(kind) + "?since=" + std::to_string(since) + "&wait=" + std::to_string(wait) };
    }

    std::optional<PlatformObject> decodeObject(const std::string& body)
    {
        return objectFromText(body);
    }

    std::optional<ObjectList> decodeChanges(const std::string& body)
    {
        const auto fields = splitObject(body);
        const auto version = versionFromFields(fields);
        const auto objects = version ? splitArray(fieldValue(*fields, "objects")) : std::nullopt;
        if (!objects)
            return std::nullopt;
        ObjectList list { .version = *version, .objects = {} };
        for (const std::string_view object : *objects) {
            if (auto read = objectFromText(object))
                list.objects.push_back(std::move(*read));
        }
        return list;
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
        return versionFromFields(splitObject(body));
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
