-- Failures: the store loses replies, loses writes, goes down; a refusal that says "not run" stays true.
site{entries = 3, models = 1, orders = 2, seed = 11}
local modes = {{lose_replies = true}, {lose_writes = true}, {down = true}, {}}
local refused = 0
for i = 1, 40 do
  store(modes[i % 4 + 1])
  local key = "order-" .. i
  local first = send{to = "entry-" .. (i % 3 + 1), service = "orders", key = key, body = key}
  advance(150)
  local second = send{to = "entry-" .. ((i + 1) % 3 + 1), service = "orders", key = key, body = key}
  advance(400)
  store{}
  advance(3000)
  expect(result(first).replied and result(second).replied, key .. ": no answer")
  expect(runs(key) <= 1, key .. " ran " .. runs(key) .. " times")
  if result(first).code == "StoreUnavailable" then
    refused = refused + 1
    expect(result(first).time < 1000, key .. " was not refused at once")
    expect(result(first).retry_after > 0, key .. " was not told when to come back")
  end
end
expect(refused > 0, "the outages refused nothing")
local late = send{service = "orders", key = "after", body = "after"}
advance(2000)
expect(result(late).code == "Ok", "orders run again after the outages")
expect_promises()
