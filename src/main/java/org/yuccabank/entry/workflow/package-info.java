/** Forwards workflow requests from entry and control hosts to the leader. */
package org.yuccabank.entry.workflow;
