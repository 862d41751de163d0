#include "directoryagreement.h"

namespace kingcuptrail {

void takeDirectoryWord(DirectoryAgreement& agreement, bool isSame, Millis now)
{
    if (isSame) {
        agreement.agreedAt = now;
        agreement.differsSince = 0;
        return;
    }
    agreement.agreedAt = 0;
    if (agreement.differsSince == 0)
        agreement.differsSince = now;
}

void forgetAgreement(DirectoryAgreement& agreement)
{
    agreement.agreedAt = 0;
}

bool isAgreed(const DirectoryAgreement& agreement, Millis now)
{
    return agreement.agreedAt > 0 && now - agreement.agreedAt < agreement.options.wordTime;
}

bool isRepairDue(const DirectoryAgreement& agreement, Millis now)
{
    return agreement.differsSince > 0 && now - agreement.differsSince >= agreement.options.repairPatience;
}

}
