#include "libplatform/peerentryjson.h"
#include "platform/trustadapter.h"

#include <cstdlib>

#include <cstddef>
#include <cstdint>

using namespace kingcuptrail;

/// Answers of the store and the announcements in them. Writing a parsed announcement and parsing it again must give the same
/// announcement.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string body(data, data + size);
    const StoreDialect& store = *trustAdapter().store;
    store.decodeObject(body);
    store.decodeVersion(body);
    store.decodeChanges(body);
    const auto page = store.decodePage(body);
    if (!page)
        return 0;
    for (const PlatformObject& object : page->list.objects) {
        const auto entry = parsePeerEntry(object.value.value_or(""));
        if (entry && parsePeerEntry(toJson(*entry)) != entry)
            std::abort();
    }
    return 0;
}
