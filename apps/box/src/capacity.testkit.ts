/** Boxes with the real admission of plain requests, on a virtual clock, with small fakes of links, servers and queue. */
import type { CapacityEvent } from "@stairgauge/capacity";
import { createVirtualClock, Err, Ok, type BoxName, type Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import {
  placePlainRequest,
  type PlainRequest,
  type RequestHead,
} from "@stairgauge/forwarding";
import {
  applyUpdate,
  makeRunUpdate,
  type PlaceAnswer,
  type PlaceQuestion,
  type RunUpdate,
} from "@stairgauge/peers";
import {
  createFleetPlaces,
  createLoadRegistry,
  type PlacementDecision,
} from "@stairgauge/placement";
import { toPlaceAnswer } from "./askHubs.js";
import {
  createFifoQueue,
  createServers,
  type FleetOptions,
} from "./capacityServers.testkit.js";
import { createBoxPlacer, SERVICE } from "./capacityPlacer.testkit.js";
import { createCapacity, type Capacity } from "./createCapacity.js";

type LinkState = "up" | "silent" | "down";

/** Creates boxes in a full mesh; all links are up. */
export const createCapacityFleet = (options: FleetOptions) => {
  const { boxes, delay } = options;
  const clock = createVirtualClock();
  const servers = createServers(clock, options);
  const names = Array.from({ length: boxes }, (_, i) => `b${i}` as BoxName);
  const links = new Map<string, LinkState>();
  const ejected: string[] = [];
  const events: CapacityEvent[] = [];
  const rejections: Readonly<{ server: string; at: number }>[] = [];
  const outcomes = { served: 0, rejected: 0, refused: 0, waited: 0 };
  let answerFor: ((box: BoxName) => PlaceAnswer | undefined) | undefined;

  const getLink = (from: BoxName, to: BoxName): LinkState =>
    links.get(`${from} ${to}`) ?? "up";
  const pass = (from: BoxName, to: BoxName, act: () => void) => {
    if (getLink(from, to) === "up") clock.setTimer(delay as Ms, act);
  };

  const askPlace =
    (own: BoxName) => (to: BoxName, question: PlaceQuestion, signal: AbortSignal) =>
      new Promise<
        ReturnType<typeof Ok<PlaceAnswer>> | ReturnType<typeof Err<{ kind: "no_link" }>>
      >((resolve) => {
        const cancellation = new AbortController();
        const fail = () => {
          pass(own, to, () => cancellation.abort());
          resolve(Err({ kind: "no_link" }));
        };
        signal.addEventListener("abort", fail, { once: true });
        brokenCalls.add({ own, to, fail });
        pass(own, to, () => {
          const fixed = answerFor?.(to);
          const given = fixed
            ? Promise.resolve(fixed)
            : findBox(to)
                .capacity.plainHub.answer(
                  { ...question, admission: question.admission! },
                  cancellation.signal,
                )
                .then(toPlaceAnswer);
          void given.then((answer) => pass(to, own, () => resolve(Ok(answer))));
        });
      });
  const brokenCalls = new Set<
    Readonly<{ own: BoxName; to: BoxName; fail: () => void }>
  >();

  const createOne = (own: BoxName, index: number) => {
    const send = (parts: Partial<RunUpdate>) => {
      const update = makeRunUpdate(own, parts);
      for (const to of names)
        if (to !== own) pass(own, to, () => findBox(to).receive(update));
    };
    const registry = createLoadRegistry(({ server, id, run }) => {
      if (run) send({ put: [{ server, run }] });
      else {
        send({ drop: [{ server, id }] });
        capacity.onEnded(server);
      }
    });
    const { directory, placer } = createBoxPlacer(clock, index, options, registry, () =>
      capacity.isContended(SERVICE),
    );
    const places = createFleetPlaces(clock);
    places.setPlace({ rank: index, boxes });
    const listUp = () => names.filter((to) => to !== own && getLink(own, to) !== "down");
    const capacity: Capacity = createCapacity({
      clock,
      own,
      links: {
        listHubs: () => names.filter((to) => to === own || listUp().includes(to)),
        listConnected: () => listUp().map((box) => ({ box, capacity: 1 })),
        countBoxes: () => boxes,
        findPlace: () => ({ rank: index, boxes }),
        askPlace: askPlace(own),
      },
      registry,
      places,
      directory,
      placer,
      queue: createFifoQueue(options.maxWaiting),
      isEngineService: () => false,
      recordContended: (contended) => send({ contended }),
      forward: () => undefined,
      retryAfter: 400 as Ms,
      onEjected: (box) => ejected.push(box),
      onEvent: (event) => events.push(event),
    });
    const receive = (update: RunUpdate) =>
      applyUpdate(
        {
          registry,
          onLeaving: () => undefined,
          onReport: () => undefined,
          onBroken: () => undefined,
          onAnswered: () => undefined,
          onCrashes: () => undefined,
          onLimits: () => undefined,
          isListed: (server) => directory.find(server) !== undefined,
          onEnded: capacity.onEnded,
          onContended: (shared, box) =>
            capacity.applyShared(shared, { box, message: "update" }),
        },
        update,
      );
    return { own, registry, directory, placer, capacity, receive };
  };
  const fleet = names.map(createOne);
  const findBox = (name: BoxName) => fleet[names.indexOf(name)]!;

  /** Sends a client's request to a box; the returned function is called when the client leaves. */
  const sendRequest = (index: number, id: string) => {
    const { placer, capacity } = fleet[index]!;
    const head = { id } as unknown as RequestHead;
    const now = clock.monotonic();
    const demand = { tier: 1, tokens: undefined };
    const plain: PlainRequest = {
      head,
      service: SERVICE,
      tier: 1,
      regions: undefined,
      workspace: undefined,
      subject: undefined,
      aimAt: (now + 300) as Ms,
      endsAt: (now + 4_000) as Ms,
      workMs: options.work as Ms,
      except: new Set(),
    };
    const sendTo = (server: BackendServer) => {
      const release = placer.place(server, head, demand);
      servers.send(Number(server.entry.id.slice(1)), (isServed) => {
        release();
        if (options.isBrittle) capacity.recordBrittle(server, 4);
        if (!isServed)
          rejections.push({ server: server.entry.id, at: clock.monotonic() });
        outcomes[isServed ? "served" : "rejected"] += 1;
        if (!isServed) capacity.plainAdmission.onRejected(server);
      });
    };
    const place = (decision: PlacementDecision) => {
      if (decision.kind === "placed") sendTo(decision.server);
      else outcomes.refused += 1;
    };
    return placePlainRequest({ clock, plainAdmission: capacity.plainAdmission }, plain, {
      placeOpen: () => {
        place(placer.choose(SERVICE, demand, new Set()));
        return () => undefined;
      },
      place,
      report: () => void (outcomes.waited += 1),
      fail: (error) => {
        throw error;
      },
    });
  };

  /** Sets the state of the links between two boxes. */
  const setLink = (index: number, other: number, state: LinkState) => {
    links.set(`${names[index]} ${names[other]}`, state);
    links.set(`${names[other]} ${names[index]}`, state);
  };
  /** Sets the state of all links from and to a box; calls over a link that goes down end at once. */
  const setLinks = (index: number, state: LinkState) => {
    const box = names[index]!;
    names.forEach((_, other) => setLink(index, other, state));
    if (state !== "down") return;
    for (const call of brokenCalls) if (call.own === box || call.to === box) call.fail();
  };
  /** Makes the service contended at all boxes. */
  const markContended = () => {
    for (const { capacity } of fleet)
      capacity.applyShared(
        { signs: [{ service: SERVICE, age: 0 as Ms, full: [] }], unknownParts: 0 },
        { box: "test", message: "notice" },
      );
  };
  /** Replaces the answers of the asked box, as a box of another release gives them. */
  const setAnswer = (answer: typeof answerFor) => {
    answerFor = answer;
  };
  return {
    clock,
    fleet,
    servers,
    events,
    ejected,
    outcomes,
    rejections,
    sendRequest,
    setLinks,
    setLink,
    markContended,
    setAnswer,
  };
};
