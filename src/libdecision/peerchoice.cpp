#include "peerchoice.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    bool contains(std::span<const std::uint32_t> addresses, std::uint32_t address)
    {
        return std::ranges::find(addresses, address) != addresses.end();
    }

}

std::vector<std::uint32_t> randomAddresses(std::span<const std::uint32_t> addresses, std::size_t count, std::uint32_t self, std::minstd_rand& random)
{
    std::vector<std::uint32_t> chosen;
    // Few of many: a random index hits one that was chosen before only now and then.
    constexpr std::size_t sparseFactor = 4;
    if (addresses.size() > sparseFactor * (count + 1)) {
        std::uniform_int_distribution<std::size_t> index(0, addresses.size() - 1);
        const std::size_t maxDraws = sparseFactor * (count + 1);
        for (std::size_t draw = 0; draw < maxDraws && chosen.size() < count; ++draw) {
            const std::uint32_t address = addresses[index(random)];
            if (address != self && !contains(chosen, address))
                chosen.push_back(address);
        }
        return chosen;
    }
    for (const std::uint32_t address : addresses) {
        if (address != self && !contains(chosen, address))
            chosen.push_back(address);
    }
    std::ranges::shuffle(chosen, random);
    if (chosen.size() > count)
        chosen.resize(count);
    return chosen;
}

std::vector<std::uint32_t> randomInEachDataCentre(const Directory& directory, std::size_t perDataCentre, std::uint32_t self, std::minstd_rand& random)
{
    std::vector<std::uint32_t> chosen;
    for (const auto& [dataCentre, members] : directory.dataCentres) {
        const std::vector<std::uint32_t> inDataCentre = randomAddresses(members.peers, perDataCentre, self, random);
        chosen.insert(chosen.end(), inDataCentre.begin(), inDataCentre.end());
    }
    return chosen;
}

}
