import random,sys
seed=int(sys.argv[1]); r=random.Random(seed)
L=r.choice([50.0,60.0,70.0])
plans=[
 lambda t:f'{{ at = {t}, kind = "config_change", how = "{r.choice(["idle","timeout"])}" }}',
 lambda t:f'{{ at = {t}, kind = "config_storm", gap_s = 0.33, for_s = 4.0 }}',
 lambda t:f'{{ at = {t}, kind = "config_race", count = 3, gap_s = 1.2 }}',
 lambda t:f'{{ at = {t}, kind = "bad_config", count = 3, gap_s = 1.0 }}',
 lambda t:f'{{ at = {t}, kind = "scale_in", share = 0.15 }}',
 lambda t:f'{{ at = {t}, kind = "scale_in", share = 0.15, how = "spot" }}',
 lambda t:f'{{ at = {t}, kind = "roll_term", share = {r.choice([0.45,1.0])}, x = 1.0, gap_s = 1.3, how = "{r.choice(["","busy","leader","starter"])}" }}',
 lambda t:f'{{ at = {t}, kind = "hup", share = 0.6, gap_s = 2.0 }}',
]
faults=[
 lambda t:f'{{ at = {t}, kind = "applied_late", x = 0.5, for_s = 8.0, how = "{r.choice(["orders","all"])}" }}',
 lambda t:f'{{ at = {t}, kind = "node_kill", on = "side", share = 0.3 }}',
 lambda t:f'{{ at = {t}, kind = "node_kill", on = "core", count = 1, for_s = 3.5, how = "{r.choice(["leader","power leader","leader race hard","leader race drain","meet drain","follower"])}" }}',
 lambda t:f'{{ at = {t}, kind = "node_freeze", on = "core", count = 1, for_s = {r.choice([2.0,4.0,6.5])}, how = "{r.choice(["leader","leader race hard","renewed race hard","giver","follower"])}" }}',
 lambda t:f'{{ at = {t}, kind = "node_freeze", on = "side", share = 0.3, for_s = {r.choice([2.0,4.0,8.0])} }}',
 lambda t:f'{{ at = {t}, kind = "core_cut", count = 1, for_s = 5.5, how = "{r.choice(["leader race","leader one_way","leader race drain hard all","split race","near leader","behind","both","relieve","lure","leader refuse","seeds","oldest"])}" }}',
 lambda t:f'{{ at = {t}, kind = "node_cut", share = 0.17, for_s = 5.5, on = "side", how = "{r.choice(["","all","servers","servers reborn"])}" }}',
 lambda t:f'{{ at = {t}, kind = "srv_cut", share = 0.2, for_s = 5.5, how = "{r.choice(["","reborn","reset","one_way","some","fronts"])}" }}',
 lambda t:f'{{ at = {t}, kind = "srv_crash", share = 0.14, for_s = {r.choice([0.5,2.0,4.5])}, how = "{r.choice(["","dark","gone","rack"])}" }}',
 lambda t:f'{{ at = {t}, kind = "srv_grey", how = "{r.choice(["hang","errors","mute","reset"])}", share = 0.15, x = 1.0, for_s = 6.5 }}',
 lambda t:f'{{ at = {t}, kind = "srv_slow", share = 0.17, x = 6.5, for_s = 7.0 }}',
 lambda t:f'{{ at = {t}, kind = "disk_{r.choice(["stall","full"])}", count = 1, for_s = 3.5, how = "leader" }}',
 lambda t:f'{{ at = {t}, kind = "disk_slow", count = 1, x = 30.0, for_s = 5.5, how = "leader" }}',
 lambda t:f'{{ at = {t}, kind = "after_ack_wipe", for_s = 3.0, how = "{r.choice(["","oldest"])}" }}',
 lambda t:f'{{ at = {t}, kind = "after_ack_kill", for_s = 3.0, how = "{r.choice(["","kill","taken","timed"])}" }}',
 lambda t:f'{{ at = {t}, kind = "replace_core", x = 1.0, how = "{r.choice(["","oldest","planned"])}" }}',
 lambda t:f'{{ at = {t}, kind = "seed_turnover" }}',
 lambda t:f'{{ at = {t}, kind = "herd_kill", on = "core", share = 1.0, how = "{r.choice(["power","off","taken","taken all","off race"])}", for_s = 4.5 }}',
 lambda t:f'{{ at = {t}, kind = "herd_kill", share = 0.55, for_s = 2.0, how = "power" }}',
 lambda t:f'{{ at = {t}, kind = "clock_step", share = 0.3, x = 2400.0, for_s = 6.0, how = "{r.choice(["ahead","back"])}" }}',
 lambda t:f'{{ at = {t}, kind = "node_slow", share = 0.1, x = 5.0, for_s = 5.5 }}',
 lambda t:f'{{ at = {t}, kind = "reset_conns", share = 0.1, x = 0.5, for_s = 5.0 }}',
 lambda t:f'{{ at = {t}, kind = "give_up", share = 0.35, for_s = 6.0, how = "prompt" }}',
 lambda t:f'{{ at = {t}, kind = "ack_lost", x = 0.6, for_s = 10.0 }}',
 lambda t:f'{{ at = {t}, kind = "burst", x = 1.5, for_s = 6.0, class = "costing" }}',
 lambda t:f'{{ at = {t}, kind = "poison", share = 0.05, for_s = 3.0, class = "quote" }}',
]
closings=['{ kind = "wipe_after_ack", down_s = 0.87, how = "taken" }','{ kind = "wipe_after_ack", down_s = 1.2, how = "aimed all synced" }','{ kind = "power_off_all", down_s = 1.1, how = "taken" }','{ kind = "kill_all", down_s = 1.3 }','{ kind = "wipe_after_ack", down_s = 1.0, how = "oldest" }']
p=[r.choice(plans)(round(r.uniform(1,L-8),1)) for _ in range(r.randint(2,5))]
n=r.randint(5,9)
sel=[r.choice(faults) for _ in range(n)]
# repeat one strongly
f=[x(round(r.uniform(1,L-10),1)) for x in sel]
print(f'name = "z{seed}"\nlength_s = {L}\nplan = [\n  '+',\n  '.join(p)+'\n]\nfaults = [\n  '+',\n  '.join(f)+'\n]')
if r.random()<0.6: print('closing = '+r.choice(closings))
