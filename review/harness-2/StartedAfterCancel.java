import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: a machine that takes requests freezes. Clients that hand jobs in there get no response,
 * cancel the jobs at other nodes and have the cancelling acknowledged. Jobs of theirs run when the
 * machine wakes.
 */
final class StartedAfterCancel {

    private static final int MINIONS = 12;
    private static final int CLIENTS = 5;
    private static final int ROUNDS = 3;
    private static final long FROZEN_MILLIS = 6_500;
    private static final long CANCEL_MILLIS = 3_000;

    private StartedAfterCancel() {}

    public static void main(String[] arguments) {
        Case.run(
                arguments[0],
                4,
                16_000,
                Case.machines(Deployment.SERVICE, MINIONS, 1),
                StartedAfterCancel::play);
    }

    private static int play(Deployment deployment) throws Exception {
        List<Integer> nodes = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            nodes.add(deployment.addEntryMachine());
        }
        for (int node : nodes) {
            if (!isServing(deployment, node)) {
                return Case.NOT_RUN;
            }
        }
        int result = Case.HELD;
        for (int round = 0; round < ROUNDS && result == Case.HELD; round++) {
            result = playRound(deployment, nodes.get(round));
            Thread.sleep(3_000);
        }
        return result;
    }

    /** Freezes one machine. The outcome depends on the order in which it handles its events. */
    private static int playRound(Deployment deployment, int node) throws Exception {
        boolean trouble = !Case.withoutTrouble();
        long frozenAt = deployment.millis();
        if (trouble) {
            deployment.freezeEntryMachine(node, true);
        }
        List<Thread> clients = new ArrayList<>();
        Map<String, Long> cancelledAt = new ConcurrentHashMap<>();
        for (int client = 0; client < CLIENTS; client++) {
            String id = deployment.newId();
            Thread thread = new Thread(() -> submitAndCancel(deployment, node, id, cancelledAt));
            clients.add(thread);
            thread.start();
        }
        for (Thread client : clients) {
            client.join();
        }
        while (deployment.millis() - frozenAt < FROZEN_MILLIS) {
            Thread.sleep(50);
        }
        if (trouble) {
            deployment.freezeEntryMachine(node, false);
        }
        Thread.sleep(4_000);
        boolean broken = false;
        for (Deployment.Happening each : deployment.happenings()) {
            String id = each.task().substring(0, each.task().indexOf('.'));
            long cancelled = cancelledAt.getOrDefault(id, Long.MAX_VALUE - CANCEL_MILLIS);
            if (each.what().equals("start") && each.atMillis() > cancelled + CANCEL_MILLIS) {
                deployment.record(
                        "run "
                                + each.task()
                                + " started "
                                + (each.atMillis() - cancelled)
                                + " ms after the cancelling was acknowledged");
                broken = true;
            }
        }
        for (String id : cancelledAt.keySet()) {
            deployment.record("job " + id + " is " + deployment.state("now", id));
        }
        if (cancelledAt.size() < CLIENTS) {
            return Case.NOT_RUN;
        }
        return broken ? Case.BROKEN : Case.HELD;
    }

    /** Hands a job in and cancels it, whether it was accepted or not, until that is acknowledged. */
    private static void submitAndCancel(
            Deployment deployment, int node, String id, Map<String, Long> cancelledAt) {
        List<Deployment.Step> steps = List.of(Deployment.step(2, 500, 10_000));
        deployment.submitOnce(node, "now", id, steps);
        for (int attempt = 0; attempt < 10; attempt++) {
            int status = deployment.cancel("now", id);
            if (status == 410 || status / 100 == 2) {
                cancelledAt.put(id, deployment.millis());
                return;
            }
        }
    }

    /** Returns once the node has taken a number of requests, as one does that has run for long. */
    private static boolean isServing(Deployment deployment, int node) throws Exception {
        List<Deployment.Step> steps = List.of(Deployment.step(1, 500, 500));
        int taken = 0;
        for (int attempt = 0; attempt < 60 && taken < 20; attempt++) {
            taken += deployment.submitOnce(node, "now", deployment.newId(), steps) == 200 ? 1 : 0;
            Thread.sleep(100);
        }
        return taken == 20;
    }
}
