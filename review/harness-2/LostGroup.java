import java.nio.file.Path;
import java.util.List;

/**
 * Case: five machines with a disk, of which two may be lost. One freezes, another one is replaced at
 * another address; after the successor has had its time, two lose their disks while all others lose
 * power. The group never finds a leader again, and all that was acknowledged is gone.
 */
final class LostGroup {

    private static final int EDGES = 5;
    private static final int REPLACED = 4;
    private static final int FROZEN = 5;
    private static final int SUCCESSOR = 6;
    private static final long RECOVERY_MILLIS = 12_000;

    private LostGroup() {}

    public static void main(String[] arguments) {
        int result = Case.NOT_RUN;
        Case.endAfter(115);
        try (Deployment deployment =
                Deployment.started(
                        Path.of(arguments[0]),
                        EDGES,
                        4,
                        16_000,
                        Case.machines(Deployment.SERVICE, 3, 1))) {
            result = play(deployment);
            deployment.record("exit " + result);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(result);
    }

    private static int play(Deployment deployment) throws Exception {
        if (!deployment.sendManifest(2, 4, 10_000)) {
            return Case.NOT_RUN;
        }
        long begin = deployment.millis();
        if (!Case.withoutTrouble()) {
            deployment.signalEdge(FROZEN, "STOP");
            Thread.sleep(300);
            deployment.stopEdge(REPLACED, true);
            Thread.sleep(1_000);
            deployment.startEdge(SUCCESSOR);
        }
        // The successor starts after 1.3 s and has had catch_up_s (4 s) after 5.3 s.
        sleepUntil(deployment, begin + 6_800);
        if (!deployment.sendManifest(3, 4, 10_000)) {
            return Case.NOT_RUN;
        }
        List<Integer> wiped = List.of(1, 2);
        List<Integer> dark =
                Case.withoutTrouble() ? List.of(3, 4, 5) : List.of(3, FROZEN, SUCCESSOR);
        for (int edge : wiped) {
            deployment.stopEdge(edge, true);
        }
        for (int edge : dark) {
            deployment.stopEdge(edge, false);
        }
        Thread.sleep(1_000);
        for (int edge : wiped) {
            deployment.startEdge(edge);
        }
        for (int edge : dark) {
            deployment.startEdge(edge);
        }
        long back = deployment.millis();
        long version = 0;
        while (version < 3 && deployment.millis() - back < 2 * RECOVERY_MILLIS) {
            Thread.sleep(500);
            for (int node : List.of(1, 2, 3, 4, 5, SUCCESSOR)) {
                version = Math.max(version, deployment.manifestVersion(node));
            }
        }
        deployment.record(
                "manifest 3 was acknowledged; "
                        + (deployment.millis() - back)
                        + " ms after all machines are back, "
                        + (version == 0 ? "no node gives any" : "version " + version + " is read"));
        return version < 3 ? Case.BROKEN : Case.HELD;
    }

    private static void sleepUntil(Deployment deployment, long millis) throws Exception {
        while (deployment.millis() < millis) {
            Thread.sleep(20);
        }
    }
}
