package org.yuccabank;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/**
 * Skips failures of the tests that KNOWN-RED.txt lists and prints them. A listed test that passes
 * is reported as a failure, so that the list stays up to date.
 */
public final class KnownRedListener implements IInvokedMethodListener {

    private static final String TEST_KEY = "test: ";

    private final Set<String> knownFailures = read();

    private static Set<String> read() {
        Path file = Path.of(System.getProperty("yuccabank.directory")).resolve("KNOWN-RED.txt");
        if (!Files.exists(file)) {
            return Set.of();
        }
        try {
            return Files.readAllLines(file).stream()
                    .filter(line -> line.startsWith(TEST_KEY))
                    .map(line -> line.substring(TEST_KEY.length()).trim())
                    .collect(Collectors.toSet());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    @Override
    public void afterInvocation(IInvokedMethod method, ITestResult result) {
        String name = result.getTestClass().getRealClass().getSimpleName() + "." + result.getName();
        if (!method.isTestMethod() || !knownFailures.contains(name)) {
            return;
        }
        if (result.getStatus() == ITestResult.FAILURE) {
            System.out.println("KNOWN RED: " + name + ": " + result.getThrowable().getMessage());
            result.setStatus(ITestResult.SKIP);
        } else if (result.getStatus() == ITestResult.SUCCESS) {
            result.setStatus(ITestResult.FAILURE);
            result.setThrowable(new AssertionError(name + " passes; remove it from KNOWN-RED.txt"));
        }
    }
}
