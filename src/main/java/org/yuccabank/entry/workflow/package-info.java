/** The way of workflow requests from an entry or control host to the leader. */
package org.yuccabank.entry.workflow;
