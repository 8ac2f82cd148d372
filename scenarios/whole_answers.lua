-- Promise: a caller receives the whole answer to its own request, also when engines crash in the middle of it.
site{entries = 3, models = 6, seed = 3}
local requests = {}
for i = 1, 60 do
  requests[i] = send{to = "entry-" .. (i % 3 + 1), body = "question " .. i, stream = i % 2 == 0, tokens = 20}
  advance(15)
  if i == 20 then crash_engine("model-2") end
  if i == 40 then crash_engine("model-5") end
end
advance(20000)
local answered = 0
for i, id in ipairs(requests) do
  local r = result(id)
  expect(r.replied, id .. " was never answered")
  if r.code == "Ok" then
    answered = answered + 1
    local text = (i % 2 == 0) and r.streamed or r.body
    local count, tag = 0, nil
    for index, hash in text:gmatch("(%d+):(%d+) ") do
      expect(tonumber(index) == count, id .. " token " .. index .. " at place " .. count)
      tag = tag or hash
      expect(tag == hash, id .. " holds another request's token")
      count = count + 1
    end
    expect(count == 20, id .. " has " .. count .. " tokens")
  end
end
expect(answered >= 57, answered .. " of 60 answered")
expect_promises()
