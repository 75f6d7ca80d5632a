#include "table_sync/row_packer.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::table_sync;

namespace {

StoredRow row(int64_t version, std::string value)
{
    return { { "op", "config" }, std::move(value), RowVersion(version), false };
}

} // namespace

BOOST_AUTO_TEST_SUITE(RowPackerTest)

BOOST_AUTO_TEST_CASE(RestoresSmallAndLargeRowsAndTombstones)
{
    RowPacker packer;
    const StoredRow tombstone { { "op", "gone" }, "", RowVersion(9), true };
    const auto rows
        = RowPacker::unpack(packer.pack({ row(7, "small"), row(8, std::string(100'000, 'a')), tombstone }));
    BOOST_REQUIRE(rows.size() == 3u);
    BOOST_TEST(rows[0].value == "small");
    BOOST_TEST((rows[1].value == std::string(100'000, 'a')));
    BOOST_TEST((rows[1].version == RowVersion(8)));
    BOOST_TEST(rows[2].isDeleted);
}

// Guards against a peer that gets an earlier content under a newer version.
BOOST_AUTO_TEST_CASE(PacksANewVersionAnew)
{
    RowPacker packer;
    packer.pack({ row(1, std::string(100'000, 'a')) });
    const auto rows = RowPacker::unpack(packer.pack({ row(2, std::string(100'000, 'b')) }));
    BOOST_TEST((rows.front().value == std::string(100'000, 'b')));
}

BOOST_AUTO_TEST_CASE(LeavesOutWhatCannotBeRead)
{
    PackedRow broken { { "op", "config" }, "no zlib stream", RowVersion(1), false, true };
    BOOST_TEST(RowPacker::unpack({ broken }).empty());
}

BOOST_AUTO_TEST_SUITE_END()
