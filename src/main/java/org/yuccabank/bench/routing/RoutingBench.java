package org.yuccabank.bench.routing;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Benchmark of routing decisions in simulated time. Stateless and thread-safe. */
public final class RoutingBench {

    /** Name that selects every load in turn. */
    public static final String ALL_LOADS = "all";

    private RoutingBench() {}

    /**
     * Options of the benchmark, with names as on the command line. Immutable.
     *
     * @param example name of the example deployment
     * @param targets number of targets
     * @param entries number of entry processes
     * @param load name of the load or {@link #ALL_LOADS}
     * @param router name of the router
     * @param disabledMechanisms names of the mechanisms to disable
     * @param seconds simulated seconds, 0 for a default that depends on the number of targets
     * @param seed seed of the random number generators
     */
    public record Request(
            String example,
            int targets,
            int entries,
            String load,
            String router,
            List<String> disabledMechanisms,
            int seconds,
            long seed) {}

    /**
     * Runs the benchmark and prints one line for each load.
     *
     * @param request options of the benchmark
     * @param json whether to print JSON
     * @param output stream to print to
     * @return the first unknown name, empty if the benchmark ran
     */
    public static Optional<String> run(Request request, boolean json, PrintStream output) {
        Optional<Example> example = Example.named(request.example());
        Optional<RouterKind> router = RouterKind.named(request.router());
        List<Load> loads = loads(request.load());
        Set<Mechanism> disabledMechanisms = EnumSet.noneOf(Mechanism.class);
        for (String name : request.disabledMechanisms()) {
            Optional<Mechanism> mechanism = Mechanism.named(name);
            if (mechanism.isEmpty()) {
                return Optional.of(name);
            }
            disabledMechanisms.add(mechanism.get());
        }
        if (example.isEmpty()) {
            return Optional.of(request.example());
        }
        if (router.isEmpty()) {
            return Optional.of(request.router());
        }
        if (loads.isEmpty()) {
            return Optional.of(request.load());
        }
        int seconds =
                request.seconds() > 0
                        ? request.seconds()
                        : RoutingScenario.defaultSeconds(request.targets());
        for (Load load : loads) {
            RoutingScenario scenario =
                    new RoutingScenario(
                            example.get(),
                            request.targets(),
                            request.entries(),
                            load,
                            router.get(),
                            disabledMechanisms,
                            seconds,
                            request.seed());
            RoutingReport report = RoutingSimulation.run(scenario);
            output.println(json ? report.toJson().toString() : report.toText());
        }
        return Optional.empty();
    }

    private static List<Load> loads(String name) {
        return name.equals(ALL_LOADS)
                ? List.of(Load.values())
                : Load.named(name).map(List::of).orElse(List.of());
    }

    /**
     * Returns the names of the loads, routers and mechanisms with their descriptions.
     *
     * @return one line for each name
     */
    public static List<String> list() {
        List<String> lines = new ArrayList<>();
        for (Load load : Load.values()) {
            lines.add(String.format("load %-16s %s", load.label(), load.description()));
        }
        lines.add(String.format("load %-16s %s", ALL_LOADS, "every load in turn"));
        for (RouterKind router : RouterKind.values()) {
            lines.add(String.format("router %-14s %s", router.label(), router.description()));
        }
        for (Mechanism mechanism : Mechanism.values()) {
            lines.add("mechanism " + mechanism.label());
        }
        return lines;
    }
}
