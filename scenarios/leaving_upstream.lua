-- Promise: a leaving upstream gets no new work after a few seconds; its running work ends.
site{entries = 3, models = 4, seed = 23}
local ids = {}
for i = 1, 40 do ids[#ids + 1] = send{to = "entry-" .. (i % 3 + 1), body = "q" .. i, tokens = 30}; advance(20) end
leaving("model-1")
for i = 1, 200 do ids[#ids + 1] = send{to = "entry-" .. (i % 3 + 1), body = "r" .. i}; advance(50) end
advance(20000)
for _, id in ipairs(ids) do expect(result(id).code == "Ok", id .. ": " .. result(id).code) end
expect(in_flight("model-1") == 0)
expect_promises()
