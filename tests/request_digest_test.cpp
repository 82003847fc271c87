#include "request_digest.h"

#include <gtest/gtest.h>

using namespace egret;

namespace {

HttpRequest request(const std::string &target, const std::string &body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    return request;
}

} // namespace

// Guards against a repeated request that isn't recognised because its id or another header differs.
TEST(RequestDigest, IgnoresHeaders)
{
    HttpRequest again = request("/a/1", "body");
    again.headers = { { "X-Id", "2" }, { "X-Other", "1" } };
    EXPECT_EQ(requestDigest("customer", request("/a/1", "body")), requestDigest("customer", again));
}

// Guards against callers who get another caller's request blocked.
TEST(RequestDigest, DiffersByCallerTargetAndBody)
{
    const std::string digest = requestDigest("customer", request("/a/1", "body"));
    EXPECT_NE(digest, requestDigest("other", request("/a/1", "body")));
    EXPECT_NE(digest, requestDigest("customer", request("/a/1?x=1", "body")));
    EXPECT_NE(digest, requestDigest("customer", request("/a/1", "body2")));
    EXPECT_NE(requestDigest("ab", request("c", "")), requestDigest("a", request("bc", "")));
    EXPECT_NE(requestDigest("a", request("b", "c")), requestDigest("a", request("bc", "")));
}
