-- Failure: one request crashes each upstream that runs it and its caller sends it again through every entry.
site{entries = 3, models = 6, seed = 31}
local neighbours = {}
for i = 1, 30 do neighbours[i] = send{to = "entry-" .. (i % 3 + 1), body = "innocent " .. i, tokens = 40}; advance(10) end
local bad = send{to = "entry-1", body = "CRASH now"}
advance(10000)
expect(result(bad).code == "Quarantined", "got " .. result(bad).code)
expect(counters().crashes <= 2, counters().crashes .. " upstreams lost")
for e = 1, 3 do
  local again = send{to = "entry-" .. e, body = "CRASH now"}
  advance(1000)
  expect(result(again).code == "Quarantined" and result(again).ran == "not_run", "entry-" .. e .. ": " .. result(again).code)
end
expect(counters().crashes <= 2, counters().crashes .. " upstreams lost")
advance(20000)
for i, id in ipairs(neighbours) do expect(result(id).code == "Ok", id .. ": " .. result(id).code) end
-- The conviction ends after its time.
advance(11 * 60 * 1000)
local later = send{to = "entry-2", body = "CRASH now"}
advance(10000)
expect(result(later).ran ~= "not_run", "still refused after the quarantine")
expect_promises()
