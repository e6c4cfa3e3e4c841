/** A case: a run of a deployment that breaks a rule or keeps it. */
interface Case {

    int HELD = 0;
    int BROKEN = 1;
    int NOT_RUN = 2;

    /** Returns whether the disruption is to be left out. */
    static boolean withoutTrouble() {
        return "0".equals(System.getenv("TROUBLE"));
    }

    /** Plays the case and returns how it ended. */
    int play(Deployment deployment) throws Exception;

    /** Plays a case on a new deployment, and exits with its result. */
    static void run(
            String folder,
            int attempts,
            int processorMillis,
            java.util.List<Deployment.Machine> machines,
            Case played) {
        int result = NOT_RUN;
        endAfter(115);
        try (Deployment deployment =
                Deployment.started(
                        java.nio.file.Path.of(folder), attempts, processorMillis, machines)) {
            result = played.play(deployment);
            if (!deployment.allAlive()) {
                deployment.record("a process of the system has ended");
                result = NOT_RUN;
            }
            deployment.record("exit " + result);
        } catch (Exception exception) {
            exception.printStackTrace();
            result = NOT_RUN;
        }
        System.exit(result);
    }

    /** Ends this process, and with it all that it started, if a case takes too long. */
    static void endAfter(int seconds) {
        Thread watchdog =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(seconds * 1_000L);
                                System.exit(NOT_RUN);
                            } catch (InterruptedException exception) {
                                Thread.currentThread().interrupt();
                            }
                        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** Returns the machines of one service, three to a rack, all of kind `a`. */
    static java.util.List<Deployment.Machine> machines(String service, int count, int firstRack) {
        java.util.List<Deployment.Machine> machines = new java.util.ArrayList<>();
        for (int index = 0; index < count; index++) {
            String rack = "r" + (firstRack + index / 3);
            machines.add(new Deployment.Machine(service, java.util.List.of("a", rack)));
        }
        return machines;
    }

    /** Returns the machines of one service, of which the last one is of kind `b`. */
    static java.util.List<Deployment.Machine> machinesWithOneOther(int count) {
        java.util.List<Deployment.Machine> machines =
                machines(Deployment.SERVICE, count - 1, 1);
        machines.add(
                new Deployment.Machine(
                        Deployment.SERVICE, java.util.List.of("b", "r" + (count + 2) / 3)));
        return machines;
    }
}
