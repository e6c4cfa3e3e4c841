/** Leader-side handling of workflows: admission, task placement and worker tracking. */
package org.yuccabank.control.workflow;
