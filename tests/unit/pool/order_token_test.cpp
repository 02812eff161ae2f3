#include "core/pool/order_token.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::core::pool;

namespace
{

constexpr token_range allowed{11, 40};

} // namespace

TEST(pool_order_token, begins_with_the_epoch)
{
    order_token token;
    EXPECT_EQ(token.next(allowed), 11U);
    EXPECT_EQ(token.next(allowed), 11U);
    EXPECT_FALSE(token.is_outdated());
}

TEST(pool_order_token, is_replaced_once_an_order_may_be_late)
{
    order_token token;
    token.next(allowed);
    EXPECT_TRUE(token.supersede(11));
    EXPECT_EQ(token.next(allowed), 12U);
    EXPECT_TRUE(token.is_above(11));
    EXPECT_FALSE(token.is_above(12));
}

// Guards against a worker that refuses one start after the other, because many
// orders with the same token got no answer and each of them raised it.
TEST(pool_order_token, is_replaced_once_for_orders_with_the_same_token)
{
    order_token token;
    token.next(allowed);
    token.supersede(11);
    token.next(allowed);
    EXPECT_FALSE(token.supersede(11));
    EXPECT_EQ(token.next(allowed), 12U);
}

// Guards against a token at or above the epoch of a successor, whose orders the
// worker would refuse.
TEST(pool_order_token, stays_within_the_range_and_is_outdated_until_it_grows)
{
    order_token token;
    token.next({11, 11});
    token.supersede(11);
    EXPECT_EQ(token.next({11, 11}), 11U);
    EXPECT_TRUE(token.is_outdated());
    EXPECT_FALSE(token.supersede(11)) << "it is outdated already";
    EXPECT_EQ(token.next({11, 13}), 12U);
    EXPECT_FALSE(token.is_outdated());
}

// Guards against a worker that leaves and comes back under its id, and obeys
// orders from before it left.
TEST(pool_order_token, begins_above_the_tokens_that_were_sent_before)
{
    order_token token(20);
    EXPECT_TRUE(token.is_above(19));
    EXPECT_FALSE(token.is_above(20));
    EXPECT_EQ(token.next(allowed), 21U);
    EXPECT_FALSE(token.is_outdated());
    order_token early(40);
    EXPECT_EQ(early.next(allowed), 40U);
    EXPECT_TRUE(early.is_outdated());
}
