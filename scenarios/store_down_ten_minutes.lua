-- Failure: the store is down for ten minutes. Idempotent work is undisturbed, orders are refused truly as not run.
site{entries = 3, models = 6, orders = 2, seed = 13}
store{down = true}
local failed = 0
for i = 1, 120 do
  local q = send{to = "entry-" .. (i % 3 + 1), body = "q" .. i}
  local o = send{to = "entry-" .. (i % 3 + 1), service = "orders", key = "order-" .. i, body = "o" .. i}
  advance(5000)
  if result(q).code ~= "Ok" then failed = failed + 1 end
  expect(result(o).code == "StoreUnavailable" and result(o).ran == "not_run", "order " .. i .. ": " .. result(o).code)
end
expect(failed == 0, failed .. " questions failed")
store{}
advance(5000)
local o = send{service = "orders", key = "after", body = "after"}
advance(2000)
expect(result(o).code == "Ok")
expect_in_force()
expect_promises()
