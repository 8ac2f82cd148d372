-- Promise: planned stops cut off nothing. Every entry and sidecar is drained and replaced under load.
site{entries = 3, models = 4, orders = 2, seed = 41}
local ids = {}
local function work(times, avoid)
  for i = 1, times do
    for e = 1, 3 do
      if "entry-" .. e ~= avoid then
        ids[#ids + 1] = send{to = "entry-" .. e, body = "q" .. #ids, tokens = 10}
        if i % 10 == 0 then ids[#ids + 1] = send{to = "entry-" .. e, service = "orders", key = "k" .. #ids, body = "o"} end
      end
    end
    advance(60)
  end
end
for e = 1, 3 do
  drain("entry-" .. e)
  work(40, "entry-" .. e)
  advance(3000)
  kill("entry-" .. e)
  start("entry-" .. e)
  advance(500) -- callers are told its address once it is known to live
  work(20)
  advance(2000)
end
for m = 1, 4 do
  drain("model-" .. m)
  work(40)
  advance(3000)
  expect(in_flight("model-" .. m) == 0, "model-" .. m .. " still works")
  kill("model-" .. m)
  start("model-" .. m)
  returned("model-" .. m)
  work(20)
end
advance(20000)
local lost = 0
local codes = ""
for _, id in ipairs(ids) do
  if result(id).code ~= "Ok" then lost = lost + 1; codes = codes .. " " .. id .. ":" .. result(id).code .. ":" .. result(id).ran end
end
expect(lost == 0, lost .. " of " .. #ids .. " lost:" .. codes)
expect_promises()
