-- Promise: at most once. Entries are killed before, during and after the run of an order; callers repeat elsewhere, twice.
site{entries = 3, models = 1, orders = 2, seed = 5}
for i = 1, 30 do
  local key = "order-" .. i
  send{to = "entry-1", service = "orders", key = key, body = key}
  advance(i * 5)
  if i % 3 == 0 then kill("entry-1") end
  local second = send{to = "entry-2", service = "orders", key = key, body = key}
  local third = send{to = "entry-3", service = "orders", key = key, body = key}
  advance(4000)
  expect(result(second).replied and result(third).replied, key .. ": no answer")
  expect(runs(key) <= 1, key .. " ran " .. runs(key) .. " times")
  if i % 3 == 0 then start("entry-1"); advance(3000) end
end
expect_promises()
