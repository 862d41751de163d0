#include "directoryagreement.h"

namespace kingcuptrail {

void recordPeerDigest(DirectoryAgreement& agreement, bool isSame, Millis now)
{
    agreement.agreedAt = isSame ? now : 0;
}

void resetAgreement(DirectoryAgreement& agreement)
{
    agreement.agreedAt = 0;
}

bool isAgreed(const DirectoryAgreement& agreement, Millis now)
{
    return agreement.agreedAt > 0 && now - agreement.agreedAt < agreement.options.digestValidity;
}

}
