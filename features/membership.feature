Feature: Membership
  Instances beat to one router each, along a tree in each data centre; all know of all.

  Background:
    Given a membership of 4 routers and 3 sidecars in each of porto-a, porto-b, porto-c

  Scenario: All instances know each other a few seconds after their start
    Then the membership sees all instances live

  Scenario: A sidecar dies without a word
    Callers' requests go on being sent to it until it is suspect or gone; its calls fail as
    not sent in between.  The router that it beat to misses three beats (suspect), then six
    (gone), and tells the others at once along the tree.
    When the membership loses porto-a/s1
    Then the membership sees porto-a/s1 as suspect everywhere within 4.5 seconds
    And the membership sees porto-a/s1 as gone everywhere within 4 seconds more
    And the membership has no router that chooses the server of porto-a/s1

  Scenario: The first collector of a data centre dies
    It is the top of the tree: nobody is above it to miss its beats, and the other data
    centres hear only from it.  The second collector watches it and takes over, so the
    others see neither the rest of the data centre suspect nor the dead one live.
    When the membership loses the first collector of porto-b
    Then the membership sees the lost collector as gone everywhere within 9 seconds
    And the membership sees all instances live within 2 seconds more
    And the membership at no time logged more than 1 instance gone
    When the membership runs for 30 seconds
    Then the membership sees all instances live within 0 seconds
    And the membership agrees on the collectors of porto-b

  Scenario: A whole rack dies: a router and the sidecars that beat to it
    The router's own watcher declares it gone; the sidecars have nobody left who would.
    Each router gives them up by itself when their router has been gone for long enough.
    When the membership loses the router above porto-a/s0 and all that beat to it
    Then the membership sees porto-a/s0 as gone everywhere within 20 seconds

  Scenario: A sidecar leaves
    Operators drain a server: new work must stop within three seconds in all data centres.
    The sidecar says so at once to its router and both collectors; they push it on.
    When the membership runs for 0.4 seconds
    And the membership hears porto-c/s2 leave
    Then the membership sees porto-c/s2 as leaving everywhere within 0.2 seconds
    And the membership has no router that chooses the server of porto-c/s2

  Scenario: A sidecar leaves while the router it beats to has fallen silent
    Its word to that router vanishes.  The collectors are told directly, and the next beat
    goes to another router.
    When the membership silences the link of porto-c/s2 to its router
    And the membership hears porto-c/s2 leave
    Then the membership sees porto-c/s2 as leaving everywhere within 2.5 seconds

  Scenario: A sidecar leaves in the moment in which the first collector dies
    The collector that speaks for the data centre is not missed before three beats.  The
    second one tells the other data centres what is urgent without waiting for that.
    When the membership loses the first collector of porto-c
    And the membership hears porto-c/s2 leave
    Then the membership sees porto-c/s2 as leaving everywhere within 2.5 seconds

  Scenario: Leaving is not taken back by beats that go on, but by a new incarnation
    A draining sidecar beats until its last stream has ended.
    When the membership hears porto-c/s2 leave
    And the membership runs for 2 seconds
    And the membership gets a late beat of porto-c/s2, incarnation 1
    And the membership runs for 60 seconds
    Then the membership sees porto-c/s2 as leaving everywhere within 0 seconds
    When the membership restarts porto-c/s2 as incarnation 2
    Then the membership sees porto-c/s2 as live everywhere within 3 seconds

  Scenario: A beat that was on its way for long revives nobody
    A dead sidecar's last beat arrives after it was declared gone; believed, it would have
    requests sent to a dead address for another six seconds.
    When the membership loses porto-a/s1
    And the membership runs for 12 seconds
    And the membership gets a late beat of porto-a/s1, incarnation 1
    And the membership runs for 2 seconds
    Then the membership sees porto-a/s1 as gone everywhere within 0 seconds

  Scenario: An old word that a live sidecar is gone goes round
    A router that lost it for a while said so, and the word comes late to a router far from
    the one that watches it, in another data centre.  The collectors find that they differ;
    the word goes back to its data centre, and the router that watches the sidecar answers.
    When the membership gets an old word at porto-b/r1 that porto-a/s1 is gone
    And the membership runs for 0.5 seconds
    Then the membership sees porto-a/s1 as gone in porto-b within 0 seconds
    And the membership sees porto-a/s1 as live everywhere within 4 seconds

  Scenario: Many instances start at once
    All beat to the few seeds first, and move to their proper routers when they know them.
    The seeds must not miss those that moved.
    Given a membership of 20 routers and 40 sidecars in each of one
    When the membership runs for 20 seconds
    Then the membership sees all instances live within 0 seconds
    And the membership at no time logged anybody suspect
    And no router of the membership in one has more than 4 routers below it

  Scenario: An instance returns under its name before anybody missed it
    It has another engine process beside it and none of its predecessor's runs.  The higher
    incarnation replaces the old one; a beat of the old one that comes late changes nothing.
    When the membership restarts porto-a/s1 as incarnation 2
    And the membership runs for 3 seconds
    And the membership gets a late beat of porto-a/s1, incarnation 1
    Then the membership sees porto-a/s1 as live everywhere within 0 seconds
    And the membership knows porto-a/s1 as incarnation 2 everywhere

  Scenario: A router that was paused for a minute wakes
    It heard nobody for a minute by its clock.  Judging at once, it would declare everyone
    gone that beats to it, and refuse all requests for lack of servers.
    When the membership has each router find its clock 60 seconds ahead
    And the membership runs for 3 seconds
    Then the membership sees all instances live within 0 seconds
    And the membership at no time logged more than 0 instances gone

  Scenario: A data centre is cut off from the others and comes back
    Both sides go on by themselves and see the other side gone, without declaring anyone:
    after the partition nothing has to be taken back.
    When the membership is parted between porto-a and the rest
    Then the membership sees porto-a/r1 as gone in porto-b within 25 seconds
    And the membership sees porto-a/r1 as live in porto-a within 0 seconds
    And the membership sees porto-b/s1 as gone in porto-a within 25 seconds
    When the membership runs for 60 seconds
    And the membership heals
    Then the membership sees all instances live within 5 seconds more
    And the membership at no time logged more than 0 instances gone

  Scenario: A data centre falls apart in two halves and heals
    Half of the routers lose their way up the tree.  The lowest of them leads its half;
    both leaders go on asking for the lost ones, and find each other after the partition.
    When the membership is parted within porto-a
    And the membership runs for 40 seconds
    Then each half of the membership of porto-a sees itself live and the other gone
    When the membership heals
    Then the membership sees all instances live within 12 seconds more

  Scenario: What is gone for long is forgotten
    Two hundred instances a day are replaced.  Passed on to each that starts, the dead
    would never leave the views, and every first answer would grow with them.  A sidecar
    that died with its router is given up when that is forgotten, and forgotten as much later.
    Given a membership that forgets after 30 seconds, of 3 routers and 2 sidecars in one
    When the membership loses one/r1
    And the membership loses one/s1
    And the membership runs for 25 seconds
    And the membership starts router one/r7
    And the membership runs for 60 seconds
    Then the membership remembers nothing of one/r1 and one/s1

  Scenario: Every message arrives twice
    When the membership has every message arrive twice
    And the membership loses porto-a/s1
    And the membership runs for 15 seconds
    Then the membership sees porto-a/s1 as gone everywhere within 0 seconds
    And the membership sees all instances live within 0 seconds

  Scenario: The platform's list says leaving before the sidecar does
    When the membership finds porto-b/s0 listed as leaving
    Then the membership sees porto-b/s0 as leaving everywhere within 8 seconds
    When the membership finds porto-b/s0 listed as live
    Then the membership sees porto-b/s0 as live everywhere within 8 seconds

  Scenario: The platform's list lags behind
    It still says live of an instance that is gone, and still says leaving of the old
    incarnation when the new one has started.  Neither may be believed.
    When the membership finds porto-b/s0 listed as leaving
    And the membership runs for 8 seconds
    And the membership restarts porto-b/s0 as incarnation 2
    And the membership runs for 8 seconds
    Then the membership sees porto-b/s0 as live everywhere within 0 seconds
    When the membership finds porto-b/s0 listed as live
    And the membership loses porto-b/s0
    And the membership runs for 20 seconds
    Then the membership sees porto-b/s0 as gone everywhere within 0 seconds

  Scenario: Load reports reach the routers of all data centres
    When the membership hears porto-a/s0 report 7 running requests
    And the membership runs for 6 seconds
    Then the membership knows 7 running requests beside porto-a/s0 everywhere
